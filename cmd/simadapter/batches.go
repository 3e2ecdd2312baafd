package main

// Batches of events and their replies.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"ottershed/internal/simwire"
)

const bufferSize = 1 << 20 // bytes, each for input and output; large enough for most batches and replies

// server handles the lines of batches. A batch is open from its sync line to its commit line:
//
//	sync TIME    closed -> open    TIME is the time of the following events
//	commit       open -> closed    writes the reply
//	other lines  open -> open
type server struct {
	out       *bufio.Writer
	instances instances
	decoder   simwire.Decoder
	inBatch   bool    // a batch is open
	now       float64 // TIME of the last sync line, in milliseconds
	reply     []byte  // reply to the batch so far
}

// serve reads batches from in and writes their replies to out. It returns nil when the input ends between two batches.
// The error of a malformed input names the line.
func serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, bufferSize)
	s := &server{out: bufio.NewWriterSize(out, bufferSize), instances: instances{}}
	for number := 1; ; number++ {
		line, err := lines.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "" && !s.inBatch:
			return nil
		case errors.Is(err, io.EOF) && line == "":
			return fmt.Errorf("line %d: input ended inside a batch", number)
		case err != nil:
			return fmt.Errorf("line %d: incomplete: %w", number, err)
		}
		if err := s.handleLine(strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")); err != nil {
			var failedWrite writeError
			if errors.As(err, &failedWrite) {
				return failedWrite.error
			}
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// writeError is a failure to write a reply. It is reported without a line number, because no input line caused it.
type writeError struct{ error }

func (s *server) handleLine(line string) error {
	timeField, isSync := strings.CutPrefix(line, "sync\t")
	switch {
	case isSync == s.inBatch:
		return fmt.Errorf("unexpected line %q: a batch starts with sync and ends with commit", line)
	case isSync:
		return s.openBatch(timeField)
	case line == "commit":
		return s.closeBatch()
	default:
		return s.handleEvent(line)
	}
}

func (s *server) openBatch(timeField string) error {
	now, err := strconv.ParseFloat(timeField, 64)
	if err != nil {
		return fmt.Errorf("sync: %q is not a time in milliseconds", timeField)
	}
	s.inBatch = true
	s.now = now
	s.reply = s.reply[:0]
	return nil
}

func (s *server) closeBatch() error {
	if s.decoder.Pending() {
		return errors.New("commit: endpoint list is incomplete")
	}
	s.inBatch = false
	if _, err := s.out.Write(append(s.reply, "end\n"...)); err != nil {
		return writeError{err}
	}
	if err := s.out.Flush(); err != nil {
		return writeError{err}
	}
	return nil
}

func (s *server) handleEvent(line string) error {
	input, err := s.decoder.DecodeLine(line)
	if err != nil {
		return err
	}
	if input != nil {
		s.reply = s.instances.handle(s.reply, s.now, input)
	}
	return nil
}
