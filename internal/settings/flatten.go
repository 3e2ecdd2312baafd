package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Pairs splits texts of the form name=value; those without = are left out.
func Pairs(parts []string) map[string]string {
	texts := make(map[string]string, len(parts))
	for _, part := range parts {
		if key, value, ok := strings.Cut(part, "="); ok {
			texts[key] = value
		}
	}
	return texts
}

// ErrNotObject is returned for settings that are not a JSON object.
var ErrNotObject = errors.New("want an object")

// Flatten turns nested JSON into the names that Pairs gives: dots join the keys on the way, commas the items of plain
// lists; a list of objects gives its length under .count and its items under .0, .1 and so on. What is null is left
// out.
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

// flatten puts a value into texts under its name, or what is below it under the names there.
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
	var plain []string
	for i, item := range list {
		if _, nested := item.(map[string]any); nested {
			flatten(texts, name+"."+strconv.Itoa(i), item)
			texts[name+".count"] = strconv.Itoa(i + 1)
		} else {
			plain = append(plain, fmt.Sprint(item))
		}
	}
	if len(plain) > 0 || len(list) == 0 {
		texts[name] = strings.Join(plain, ",")
	}
}
