package golden

import (
	"reflect"
	"testing"
)

// Unset fields are found at any depth, and a value with all fields set has none.
func TestEmptyFieldsAtAnyDepth(t *testing.T) {
	type inner struct{ Number int }
	type outer struct {
		Text    string
		Pointer *inner
		List    []inner
		hidden  int
	}
	// The names come from the types by reflection, because the fields may be renamed.
	fieldPath := func(i int) string { return "v." + reflect.TypeFor[outer]().Field(i).Name }
	textPath, pointerPath, listPath := fieldPath(0), fieldPath(1), fieldPath(2)
	numberSuffix := "." + reflect.TypeFor[inner]().Field(0).Name
	filled := outer{Text: "x", Pointer: &inner{1}, List: []inner{{1}}}
	for name, test := range map[string]struct {
		value outer
		want  []string
	}{
		"filled":                  {filled, nil},
		"unset, hidden field set": {outer{hidden: 1}, []string{textPath, pointerPath, listPath}},
		"unset nested fields": {
			outer{Text: "x", Pointer: &inner{}, List: []inner{{1}, {0}}},
			[]string{pointerPath + numberSuffix, listPath + numberSuffix},
		},
		"empty list": {outer{Text: "x", Pointer: &inner{1}, List: []inner{}}, []string{listPath}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := emptyFields("v", reflect.ValueOf(test.value)); !reflect.DeepEqual(got, test.want) {
				t.Errorf("emptyFields: got %v, want %v", got, test.want)
			}
		})
	}
}
