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

// logLine is one parsed line of a log.
type logLine struct {
	at     float64 // seconds of the day; negative if the line does not start with a number
	fields map[string]string
}

// logFile holds one instance's log.
type logFile struct {
	lines     []logLine
	skipped   int       // lines that could not be parsed
	firstTime time.Time // timestamp of the first line without a second; zero if there is none
}

func readLog(name string) (logFile, error) {
	var log logFile
	file, err := os.Open(name)
	if err != nil {
		return log, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	in := bufio.NewScanner(file)
	in.Buffer(nil, maxLogLineBytes)
	for in.Scan() {
		line, ok := parseLine(in.Text())
		if !ok {
			log.skipped++
			continue
		}
		if line.at < 0 && log.firstTime.IsZero() {
			log.firstTime, _ = line.timestamp() // on an error the next line without a second is tried
		}
		log.lines = append(log.lines, line)
	}
	return log, in.Err()
}

// parseLine splits a line into its optional leading second and its fields.
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

func (l logLine) timestamp() (time.Time, error) {
	return time.Parse(time.RFC3339Nano, l.fields["time"])
}

// summaryValues returns the numeric fields of a summary line.
func (l logLine) summaryValues() (map[string]float64, error) {
	values := map[string]float64{}
	for _, key := range slices.Concat(counterFields, gaugeFields, trialFields) {
		v, err := strconv.ParseFloat(l.fields[key], 64)
		if err != nil {
			return nil, fmt.Errorf("field %s: want a number, got %q", key, l.fields[key])
		}
		values[key] = v
	}
	return values, nil
}

// alignByTimestamp sets the second of every line by its timestamp, relative to the earliest line without a second. It
// does nothing if all lines start with their second. A line whose timestamp cannot be parsed keeps its second.
func alignByTimestamp(logs []logFile) {
	var first time.Time
	for _, log := range logs {
		if !log.firstTime.IsZero() && (first.IsZero() || log.firstTime.Before(first)) {
			first = log.firstTime
		}
	}
	if first.IsZero() {
		return
	}
	for _, log := range logs {
		for i := range log.lines {
			if at, err := log.lines[i].timestamp(); err == nil {
				log.lines[i].at = at.Sub(first).Seconds()
			}
		}
	}
}

// maskNumbers replaces each number in text by #, so that lines that differ only in numbers are counted together.
func maskNumbers(text string) string {
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
