package golden

import (
	"reflect"
	"testing"
)

// Unset fields are found at any depth, and a value with all fields set has none.
func TestEmptyFieldsAtAnyDepth(t *testing.T) {
	type inner struct{ Size int }
	type outer struct {
		Name   string
		Next   *inner
		Items  []inner
		hidden int
	}
	// The names come from the types by reflection, because the fields may be renamed.
	fieldPath := func(i int) string { return "v." + reflect.TypeFor[outer]().Field(i).Name }
	namePath, nextPath, itemsPath := fieldPath(0), fieldPath(1), fieldPath(2)
	sizeSuffix := "." + reflect.TypeFor[inner]().Field(0).Name
	filled := outer{Name: "x", Next: &inner{1}, Items: []inner{{1}}}
	for name, test := range map[string]struct {
		value outer
		want  []string
	}{
		"filled":                  {filled, nil},
		"unset, hidden field set": {outer{hidden: 1}, []string{namePath, nextPath, itemsPath}},
		"unset nested fields": {
			outer{Name: "x", Next: &inner{}, Items: []inner{{1}, {0}}},
			[]string{nextPath + sizeSuffix, itemsPath + sizeSuffix},
		},
		"empty slice": {outer{Name: "x", Next: &inner{1}, Items: []inner{}}, []string{itemsPath}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := emptyFields("v", reflect.ValueOf(test.value)); !reflect.DeepEqual(got, test.want) {
				t.Errorf("emptyFields: got %v, want %v", got, test.want)
			}
		})
	}
}
