package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ParsePairs splits pairs of the form name=value into a map. It ignores texts without =.
func ParsePairs(pairs []string) map[string]string {
	texts := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		if key, value, ok := strings.Cut(pair, "="); ok {
			texts[key] = value
		}
	}
	return texts
}

// ErrNotObject is returned by Flatten and Overlay for settings that are not a JSON object.
var ErrNotObject = errors.New("want an object")

// Flatten turns a JSON object into the same map of names and texts that ParsePairs returns. Names are the keys on the
// path, joined by dots. The items of a list of scalars are joined by commas. A list of objects adds its length as
// name.count, and its items below name.0, name.1 and so on. Flatten leaves out null values. An error wraps ErrNotObject.
func Flatten(raw []byte) (map[string]string, error) {
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotObject, err)
	}
	texts := map[string]string{}
	flatten(texts, "", tree)
	return texts, nil
}

// flatten adds a scalar to texts under its name, and the members of an object or list under their names.
func flatten(texts map[string]string, name string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for key, item := range value {
			flatten(texts, strings.TrimPrefix(name+"."+key, "."), item)
		}
	case []any:
		flattenList(texts, name, value)
	default:
		texts[name] = fmt.Sprint(value)
	}
}

func flattenList(texts map[string]string, name string, list []any) {
	var scalars []string
	for i, item := range list {
		if _, nested := item.(map[string]any); nested {
			flatten(texts, name+"."+strconv.Itoa(i), item)
			texts[name+".count"] = strconv.Itoa(i + 1)
		} else {
			scalars = append(scalars, fmt.Sprint(item))
		}
	}
	if len(scalars) > 0 || len(list) == 0 {
		texts[name] = strings.Join(scalars, ",")
	}
}
