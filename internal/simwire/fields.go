package simwire

// Decoding of single fields.

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"ottershed/decision"
)

// absent marks a field without a value.
const absent = "-"

// fields decodes the fields of one line. The first error is kept in err, and the values of a line with an error must
// not be used. An absent number, integer or text has the zero value.
type fields struct {
	parts []string // parts[0] is the name of the line, parts[i] its field i
	err   error
}

func (f *fields) name() string { return f.parts[0] }

// fail records that a field does not have the expected form, unless an earlier error is recorded.
func (f *fields) fail(i int, expected string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %d: %q is not %s", f.name(), i, f.parts[i], expected)
	}
}

func (f *fields) number(i int) float64 {
	if f.parts[i] == absent {
		return 0
	}
	number, err := strconv.ParseFloat(f.parts[i], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail(i, "a number")
		return 0
	}
	return number
}

func (f *fields) integer(i int) int64 {
	if f.parts[i] == absent {
		return 0
	}
	integer, err := strconv.ParseInt(f.parts[i], 10, 64)
	if err != nil {
		f.fail(i, "a whole number")
	}
	return integer
}

// request decodes the id of a request, which is always field 2.
func (f *fields) request() decision.RequestID {
	const i = 2
	id, err := strconv.ParseUint(f.parts[i], 10, 32)
	if err != nil {
		f.fail(i, "a request id")
	}
	return decision.RequestID(id)
}

func (f *fields) token(i int) uint64 {
	token, err := strconv.ParseUint(f.parts[i], 10, 64)
	if err != nil {
		f.fail(i, "a token")
	}
	return token
}

func (f *fields) text(i int) string {
	if f.parts[i] == absent {
		return ""
	}
	return f.parts[i]
}

func (f *fields) endpoint(i int) decision.EndpointID { return decision.EndpointID(f.text(i)) }

func (f *fields) class(i int) decision.ClassName { return decision.ClassName(f.text(i)) }

func (f *fields) flag(i int) bool {
	switch f.parts[i] {
	case "0", "1", absent:
	default:
		f.fail(i, "0 or 1")
	}
	return f.parts[i] == "1"
}

// enumValue decodes a field that holds one of several names.
func enumValue[T any](f *fields, i int, values map[string]T) T {
	value, ok := values[f.parts[i]]
	if !ok {
		f.fail(i, "a known word")
	}
	return value
}

// load decodes a load report of name:value pairs. It returns nil for an absent or malformed report. It ignores unknown
// names, and missing values are -1.
func (f *fields) load(i int) *decision.Load {
	if f.parts[i] == absent {
		return nil
	}
	load := &decision.Load{Utilisation: -1, Queue: -1}
	for pair := range strings.SplitSeq(f.parts[i], ",") {
		name, valueText, hasColon := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(valueText, 64)
		if !hasColon || err != nil {
			f.fail(i, "a load report")
			return nil
		}
		switch name {
		case "cpu":
			load.Utilisation = value
		case "waiting":
			load.Queue = value
		}
	}
	return load
}
