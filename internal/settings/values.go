package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Bounds of settings.
const (
	maxNumber  = 1e12 // of a number that has no other bound
	maxCount   = 1e6  // of instances, attempts, stages and tenants
	maxClasses = 1e4  // of request classes
)

// Reasons of a FieldError.
const (
	reasonMissing        = "missing"
	reasonUnknownName    = "missing or unknown"
	reasonLengthsDiffer  = "its length differs from that of domain.waves"
	reasonNotChangeable  = "can't change while marshals run"
	reasonNotASetting    = "not a figure that the marshals read"
	reasonNameTakenShape = "%q is another's too"
	reasonNumberShape    = "want a number %s, got %q"
)

// FieldError is returned for a setting that is missing, out of bounds or can't be changed.
type FieldError struct {
	Key    string // such as rules.cold-from
	Reason string
}

func (e FieldError) Error() string { return "settings." + e.Key + ": " + e.Reason }

// values reads settings by their names. After the first fault reading goes on, with the lower bound in place of the
// value.
type values struct {
	texts     map[string]string
	err       error           // the first fault, a FieldError
	requested map[string]bool // keys that were read; nil: not noted
}

// get is the text of a setting, and whether it is there.
func (vals *values) get(key string) (string, bool) {
	if vals.requested != nil {
		vals.requested[key] = true
	}
	s, ok := vals.texts[key]
	return s, ok
}

// text is the text of a setting; absent, it is empty.
func (vals *values) text(key string) string {
	s, _ := vals.get(key)
	return s
}

// name reads the name of a request class, which no other has.
func (vals *values) name(key string, taken map[string]bool) string {
	s := vals.text(key)
	switch {
	case s == "":
		vals.fail(key, reasonMissing)
	case taken[s]:
		vals.fail(key, fmt.Sprintf(reasonNameTakenShape, s))
	}
	taken[s] = true
	return s
}

// fail notes a fault if it is the first.
func (vals *values) fail(key, reason string) {
	if vals.err == nil {
		vals.err = FieldError{Key: key, Reason: reason}
	}
}

// required reads a number that has to be there.
func (vals *values) required(key string, low, high float64) float64 {
	s, ok := vals.get(key)
	if !ok {
		vals.fail(key, reasonMissing)
		return low
	}
	return vals.number(key, s, low, high)
}

// count reads a number that has to be there and has its fraction cut off.
func (vals *values) count(key string, low, high float64) int {
	return int(vals.required(key, low, high))
}

// optional reads a number from 0 to maxNumber; absent, it is 0.
func (vals *values) optional(key string) float64 {
	if s, ok := vals.get(key); ok {
		return vals.number(key, s, 0, maxNumber)
	}
	return 0
}

// number takes a text as a number within bounds.
func (vals *values) number(key, s string, low, high float64) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		vals.fail(key, fmt.Sprintf(reasonNumberShape, rangeText(low, high), s))
		return low
	}
	return v
}

// rangeText names a range in plain figures.
func rangeText(low, high float64) string {
	plain := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	if high >= maxNumber {
		return "of " + plain(low) + " or more"
	}
	return "from " + plain(low) + " to " + plain(high)
}

// shares reads a list of numbers from 0 to 1, separated by commas.
func (vals *values) shares(key string) []float64 {
	var out []float64
	for s := range strings.SplitSeq(vals.text(key), ",") {
		out = append(out, vals.number(key, s, 0, 1))
	}
	return out
}

// flag tells whether a setting is on; absent, it is off.
func (vals *values) flag(key string) bool { return vals.text(key) == "true" || vals.text(key) == "1" }
