package days

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const maxLogLineBytes = 1 << 20

// logLine is one line of a log.
type logLine struct {
	at     float64 // in seconds of the day; below 0: the line does not start with it
	fields map[string]string
}

// logFile is one instance's log.
type logFile struct {
	lines   []logLine
	skipped int       // lines that could not be read
	begun   time.Time // of the first line that does not start with its second; zero: all lines do
}

func readLog(name string) (logFile, error) {
	var log logFile
	file, err := os.Open(name)
	if err != nil {
		return log, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	in := bufio.NewScanner(file)
	in.Buffer(nil, maxLogLineBytes)
	for in.Scan() {
		line, ok := parseLine(in.Text())
		if !ok {
			log.skipped++
			continue
		}
		if line.at < 0 && log.begun.IsZero() {
			log.begun, _ = line.time() // a later line may have a time that can be read
		}
		log.lines = append(log.lines, line)
	}
	return log, in.Err()
}

// parseLine splits a line into its second, where it starts with one, and its fields.
func parseLine(text string) (logLine, bool) {
	line := logLine{at: -1, fields: map[string]string{}}
	if before, rest, ok := strings.Cut(text, " "); ok {
		if at, err := strconv.ParseFloat(before, 64); err == nil && at >= 0 {
			line.at, text = at, rest
		}
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return line, decoder.Err() == nil && line.fields["msg"] != ""
}

func (l logLine) time() (time.Time, error) { return time.Parse(time.RFC3339Nano, l.fields["time"]) }

// figures are the numbers of a summary line.
func (l logLine) figures() (map[string]float64, error) {
	figures := map[string]float64{}
	for _, key := range slices.Concat(flows, levels, trial) {
		v, err := strconv.ParseFloat(l.fields[key], 64)
		if err != nil {
			return nil, fmt.Errorf("%s: want a number, got %q", key, l.fields[key])
		}
		figures[key] = v
	}
	return figures, nil
}

// placeByTime counts the seconds of all lines from the day's first line by the lines' own times, if any log has a
// line that does not start with its second.
func placeByTime(logs []logFile) {
	var first time.Time
	for _, log := range logs {
		if !log.begun.IsZero() && (first.IsZero() || log.begun.Before(first)) {
			first = log.begun
		}
	}
	if first.IsZero() {
		return
	}
	for _, log := range logs {
		for i := range log.lines {
			if at, err := log.lines[i].time(); err == nil {
				log.lines[i].at = at.Sub(first).Seconds()
			}
		}
	}
}

// withoutFigures replaces each number of a text by #, so that lines that differ only by numbers count as one.
func withoutFigures(text string) string {
	var b strings.Builder
	inNumber := false
	for _, r := range text {
		digit := r >= '0' && r <= '9' || inNumber && r == '.'
		if digit && !inNumber {
			b.WriteByte('#')
		}
		if !digit {
			b.WriteRune(r)
		}
		inNumber = digit
	}
	return b.String()
}
