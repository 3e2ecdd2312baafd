package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Overlay puts settings, nested JSON by the same names, over those of a running instance. It takes only those that the
// decision module reads and a running instance can change. The error is a FieldError for the first that is neither, or
// wraps ErrNotObject.
func Overlay(base map[string]string, over []byte) (map[string]string, error) {
	changes, err := Flatten(over)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	merged := maps.Clone(base)
	maps.Copy(merged, changes)
	module := &values{texts: merged, requested: map[string]bool{}}
	network := &values{texts: base, requested: map[string]bool{}}
	if _, err := forModule(module); err != nil {
		return nil, err
	}
	if _, err := forNetwork(network); err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		switch {
		case needsRestart(key) || network.requested[key]:
			return nil, FieldError{Key: key, Reason: reasonNotChangeable}
		case !module.requested[key]:
			return nil, FieldError{Key: key, Reason: reasonNotASetting}
		}
	}
	return merged, nil
}

// needsRestart tells whether a setting of the decision module holds from a start on.
func needsRestart(key string) bool {
	return strings.HasPrefix(key, "services.") || strings.HasPrefix(key, "tenants.") ||
		key == "granularity-ms" || key == "zone"
}
