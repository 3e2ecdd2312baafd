// Command benchlink hosts instances of the decision module on the bench's wire: batches of events on standard
// input, one reply for each on standard output. The instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"ottershed/decision"
	"ottershed/internal/simwire"
	"runtime"
	"strconv"
	"strings"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends between two of them.
func serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	instances := map[int]*decision.Balancer{}
	var dec simwire.Decoder
	var reply []byte
	var now float64
	open := false
	for n := 1; ; n++ {
		line, err := r.ReadString('\n')
		if err != nil && (!errors.Is(err, io.EOF) || line != "") {
			return fmt.Errorf("line %d: cut short: %w", n, err)
		}
		if err != nil {
			if open {
				return fmt.Errorf("line %d: input ended inside a batch", n)
			}
			return nil
		}
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		switch clock, isSync := strings.CutPrefix(line, "sync\t"); {
		case isSync && !open:
			if now, err = strconv.ParseFloat(clock, 64); err != nil {
				return fmt.Errorf("line %d: sync: %q is not a time", n, clock)
			}
			open, reply = true, reply[:0]
		case isSync || !open:
			return fmt.Errorf("line %d: %q is out of place", n, line)
		case line == "commit":
			if dec.Pending() {
				return fmt.Errorf("line %d: the batch ended inside a list", n)
			}
			open = false
			if _, err = w.Write(append(reply, "end\n"...)); err == nil {
				err = w.Flush()
			}
			if err != nil {
				return err
			}
		default:
			in, err := dec.Line(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if in != nil {
				reply = handle(instances, reply, now, in)
			}
		}
	}
}

// handle gives one event to its instance; a panic in the module becomes a fault of that instance.
func handle(instances map[int]*decision.Balancer, reply []byte, now float64, in *simwire.Incoming) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = simwire.AppendFault(reply, in.Instance, fmt.Sprintf("panic: %v at %s", p, panicAt()))
			delete(instances, in.Instance)
		}
	}()
	switch m := instances[in.Instance]; {
	case in.Start != nil && in.Start.Err != nil:
		delete(instances, in.Instance)
		return simwire.AppendFault(reply, in.Instance, in.Start.Err.Error())
	case in.Start != nil:
		instances[in.Instance] = decision.New(in.Start.Settings, in.Start.Seed)
	case in.Stop:
		delete(instances, in.Instance)
	case m != nil:
		out = reply
		for _, a := range m.Handle(now, in.Event) {
			out = simwire.Append(out, in.Instance, a)
		}
		return out
	}
	return reply
}

// panicAt names the first frame of the project's own code under the panic, so a fault says where it arose.
func panicAt() string {
	pcs := make([]uintptr, 32)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs)])
	for {
		f, more := frames.Next()
		if strings.HasPrefix(f.Function, "ottershed/") {
			return fmt.Sprintf("%s:%d", f.File[strings.LastIndex(f.File, "/")+1:], f.Line)
		}
		if !more {
			return "an unknown place"
		}
	}
}
