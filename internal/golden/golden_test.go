package golden

import (
	"reflect"
	"testing"
)

// Empty fields are found at any depth; filled values have none.
func TestEmptyFields(t *testing.T) {
	type inner struct{ Number int }
	type outer struct {
		Text    string
		Pointer *inner
		List    []inner
		hidden  int
	}
	// The names are asked for, as they may be renamed.
	field := func(i int) string { return "v." + reflect.TypeFor[outer]().Field(i).Name }
	text, pointer, list, number := field(0), field(1), field(2), "."+reflect.TypeFor[inner]().Field(0).Name
	filled := outer{Text: "x", Pointer: &inner{1}, List: []inner{{1}}}
	for _, c := range []struct {
		value outer
		want  []string
	}{
		{filled, nil},
		{outer{hidden: 1}, []string{text, pointer, list}},
		{outer{Text: "x", Pointer: &inner{}, List: []inner{{1}, {0}}}, []string{pointer + number, list + number}},
		{outer{Text: "x", Pointer: &inner{1}, List: []inner{}}, []string{list}},
	} {
		if got := emptyFields("v", reflect.ValueOf(c.value)); !reflect.DeepEqual(got, c.want) {
			t.Errorf("got %v, want %v", got, c.want)
		}
	}
}
