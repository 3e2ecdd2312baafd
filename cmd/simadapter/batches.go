package main

// Batches in, replies out.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"ottershed/internal/simwire"
)

const bufferSize = 1 << 20 // bytes; a batch and its reply mostly fit

// server reads batches. A batch is open from its sync line to its commit line:
//
//	sync TIME    closed -> open    the time of the events that follow
//	commit       open -> closed    the reply is written
//	other lines  open -> open
type server struct {
	out       *bufio.Writer
	instances instances
	decoder   simwire.Decoder
	open      bool
	now       float64 // ms, of the batch
	reply     []byte  // to the batch so far
}

// serve replies to batches until the input ends between two of them.
func serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, bufferSize)
	s := &server{out: bufio.NewWriterSize(out, bufferSize), instances: instances{}}
	for number := 1; ; number++ {
		line, err := lines.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "" && !s.open:
			return nil
		case errors.Is(err, io.EOF) && line == "":
			return fmt.Errorf("line %d: input ended inside a batch", number)
		case err != nil:
			return fmt.Errorf("line %d: cut short: %w", number, err)
		}
		if err := s.handleLine(strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")); err != nil {
			var failed writeError
			if errors.As(err, &failed) {
				return failed.error
			}
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// writeError is a failure to write a reply, which is no line's fault.
type writeError struct{ error }

func (s *server) handleLine(line string) error {
	clock, isSync := strings.CutPrefix(line, "sync\t")
	switch {
	case isSync == s.open:
		return fmt.Errorf("%q is out of place", line)
	case isSync:
		return s.openBatch(clock)
	case line == "commit":
		return s.closeBatch()
	default:
		return s.handleEvent(line)
	}
}

func (s *server) openBatch(clock string) error {
	now, err := strconv.ParseFloat(clock, 64)
	if err != nil {
		return fmt.Errorf("sync: %q is not a time", clock)
	}
	s.open = true
	s.now = now
	s.reply = s.reply[:0]
	return nil
}

func (s *server) closeBatch() error {
	if s.decoder.Pending() {
		return errors.New("the batch ended inside a list")
	}
	s.open = false
	if _, err := s.out.Write(append(s.reply, "end\n"...)); err != nil {
		return writeError{err}
	}
	if err := s.out.Flush(); err != nil {
		return writeError{err}
	}
	return nil
}

func (s *server) handleEvent(line string) error {
	incoming, err := s.decoder.Line(line)
	if err != nil {
		return err
	}
	if incoming != nil {
		s.reply = s.instances.handle(s.reply, s.now, incoming)
	}
	return nil
}
