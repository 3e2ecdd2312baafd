package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Upper bounds of settings.
const (
	maxNumber  = 1e12 // bounds numbers that have no other bound
	maxCount   = 1e6  // bounds the numbers of instances, attempts, stages and tenants
	maxClasses = 1e4  // bounds the number of request classes
)

// Values of FieldError.Reason. Those whose names end in Format are format strings.
const (
	reasonMissing             = "missing"
	reasonUnknownName         = "missing or unknown"
	reasonLengthsDiffer       = "its length differs from that of domain.waves"
	reasonNotChangeable       = "can't change while marshals run"
	reasonUnknownSetting      = "not a figure that the marshals read"
	reasonDuplicateNameFormat = "%q is another's too"
	reasonNumberFormat        = "want a number %s, got %q"
)

// FieldError is returned for a setting that is missing, out of bounds or can't be changed.
type FieldError struct {
	Key    string // name of the setting, such as rules.cold-from
	Reason string // what is wrong with the setting
}

func (e FieldError) Error() string { return "settings." + e.Key + ": " + e.Reason }

// settingReader reads settings by name and keeps the first error. After an error it continues with the lower bound in
// place of the invalid value, so that callers check err once at the end.
type settingReader struct {
	texts    map[string]string
	err      error           // the first error, a FieldError
	keysRead map[string]bool // names of the settings that were read; nil: not recorded
}

// lookup returns the text of a setting, and whether the setting is present.
func (reader *settingReader) lookup(key string) (string, bool) {
	if reader.keysRead != nil {
		reader.keysRead[key] = true
	}
	s, ok := reader.texts[key]
	return s, ok
}

// text returns the text of a setting, empty if the setting is absent.
func (reader *settingReader) text(key string) string {
	s, _ := reader.lookup(key)
	return s
}

// uniqueName reads a name that is required and must not be in usedNames, and adds it there.
func (reader *settingReader) uniqueName(key string, usedNames map[string]bool) string {
	s := reader.text(key)
	switch {
	case s == "":
		reader.recordError(key, reasonMissing)
	case usedNames[s]:
		reader.recordError(key, fmt.Sprintf(reasonDuplicateNameFormat, s))
	}
	usedNames[s] = true
	return s
}

// recordError records the first error and ignores all later ones.
func (reader *settingReader) recordError(key, reason string) {
	if reader.err == nil {
		reader.err = FieldError{Key: key, Reason: reason}
	}
}

// requiredNumber reads a number from low to high that must be present.
func (reader *settingReader) requiredNumber(key string, low, high float64) float64 {
	s, ok := reader.lookup(key)
	if !ok {
		reader.recordError(key, reasonMissing)
		return low
	}
	return reader.parseNumber(key, s, low, high)
}

// count reads a number from low to high that must be present, and drops its fraction.
func (reader *settingReader) count(key string, low, high float64) int {
	return int(reader.requiredNumber(key, low, high))
}

// optionalNumber reads a number from 0 to maxNumber. The default is 0.
func (reader *settingReader) optionalNumber(key string) float64 {
	if s, ok := reader.lookup(key); ok {
		return reader.parseNumber(key, s, 0, maxNumber)
	}
	return 0
}

// parseNumber parses the text s of a setting as a number from low to high.
func (reader *settingReader) parseNumber(key, s string, low, high float64) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		reader.recordError(key, fmt.Sprintf(reasonNumberFormat, formatRange(low, high), s))
		return low
	}
	return v
}

// formatRange describes the range from low to high for an error, without exponents.
func formatRange(low, high float64) string {
	decimal := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	if high >= maxNumber {
		return "of " + decimal(low) + " or more"
	}
	return "from " + decimal(low) + " to " + decimal(high)
}

// fractions reads a list of numbers from 0 to 1, separated by commas. An absent or empty list is an error.
func (reader *settingReader) fractions(key string) []float64 {
	var out []float64
	for s := range strings.SplitSeq(reader.text(key), ",") {
		out = append(out, reader.parseNumber(key, s, 0, 1))
	}
	return out
}

// flag reports whether a setting is on, that is, whether its text is true or 1. The default is off.
func (reader *settingReader) flag(key string) bool {
	return reader.text(key) == "true" || reader.text(key) == "1"
}
