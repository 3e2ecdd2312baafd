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
	filled := outer{Text: "x", Pointer: &inner{1}, List: []inner{{1}}}
	for _, c := range []struct {
		value outer
		want  []string
	}{
		{filled, nil},
		{outer{hidden: 1}, []string{"v.Text", "v.Pointer", "v.List"}},
		{outer{Text: "x", Pointer: &inner{}, List: []inner{{1}, {0}}}, []string{"v.Pointer.Number", "v.List.Number"}},
		{outer{Text: "x", Pointer: &inner{1}, List: []inner{}}, []string{"v.List"}},
	} {
		if got := emptyFields("v", reflect.ValueOf(c.value)); !reflect.DeepEqual(got, c.want) {
			t.Errorf("got %v, want %v", got, c.want)
		}
	}
}
