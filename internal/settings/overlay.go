package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Overlay returns base, the settings of a running instance, with those of the JSON object override applied over them. It
// accepts only settings that the decision module reads and a running instance can change. The error is a FieldError for
// an invalid setting or one that is not accepted, or wraps ErrNotObject.
func Overlay(base map[string]string, override []byte) (map[string]string, error) {
	changes, err := Flatten(override)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	merged := maps.Clone(base)
	maps.Copy(merged, changes)
	moduleReader := &settingReader{texts: merged, keysRead: map[string]bool{}}
	networkReader := &settingReader{texts: base, keysRead: map[string]bool{}}
	if _, err := decisionSettings(moduleReader); err != nil {
		return nil, err
	}
	if _, err := networkSettings(networkReader); err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		switch {
		case needsRestart(key) || networkReader.keysRead[key]:
			return nil, FieldError{Key: key, Reason: reasonNotChangeable}
		case !moduleReader.keysRead[key]:
			return nil, FieldError{Key: key, Reason: reasonUnknownSetting}
		}
	}
	return merged, nil
}

// needsRestart reports whether a setting of the decision module takes effect only at a restart.
func needsRestart(key string) bool {
	return strings.HasPrefix(key, "services.") || strings.HasPrefix(key, "tenants.") ||
		key == "granularity-ms" || key == "zone"
}
