package sockopt

import "errors"

// ErrTooManyLines is the error of Read for a request whose head has more lines than its reader may hold in memory.
var ErrTooManyLines = errors.New("head has too many lines")

// headScanner follows the head of a request, to find its end and to limit its lines. A line ends with a line feed, and an
// empty line ends the head. White space does not count, as net/textproto cuts it off.
type headScanner struct {
	lines   int  // lines that have ended, without the empty ones before the first
	inLine  bool // the current line is not empty
	ended   bool // the head has ended
	tooLong bool // the head has more lines than the limit
}

// scan follows the next bytes. It returns how many of them belong to the head and to its first lines up to limit.
func (h *headScanner) scan(input []byte, limit int) int {
	for i, char := range input {
		switch {
		case char == ' ', char == '\t', char == '\r':
		case char != '\n' && h.lines == limit:
			h.tooLong = true
			return i
		case char != '\n':
			h.inLine = true
		case h.inLine:
			h.inLine = false
			h.lines++
		case h.lines > 0:
			h.ended = true
			return i + 1
		}
	}
	return len(input)
}
