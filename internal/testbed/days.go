package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// A day is read from the logs of its marshals, one file each, as `ottershed serve --summary 1s` writes them. A line may have a
// number before it, the second of the day as whoever ran the fleet counted it; without, seconds count from the first line of
// the whole day by the lines' own time, which is right only where all marshals read one clock.

// columns of a day, by the fields of a summary line: what was done since the line before, then how things stand.
var (
	flows = []string{
		"taken", "forwarded", "delivered", "missed", "bounced", "errored", "gone", "cancelled", "full",
		"unreachable", "broken", "timedout", "failed", "opened", "refused", "probes", "lists", "votes",
	}
	levels = []string{"held", "nodes", "cold", "away", "out", "waiting"}
)

const (
	maxLogLineBytes = 1 << 20
	maxSeconds      = 1 << 17 // of a day
	verdictCount    = 4
)

// Second is what all marshals did in one second of a day, and how things stood for them at its end.
type Second struct {
	Instances int                // that wrote a summary
	Flow      map[string]float64 // over all of them, by the names of flows
	Level     map[string]float64 // the mean of a marshal, by the names of levels
	Build     int                // the newest that any of them knows
	Stage     int                // of that build, the highest
	Verdicts  [verdictCount]int  // marshals that stand for none, on, hold, back on that build
	Starts    int                // marshals that began to serve
	Lines     map[string]int     // other lines of info and above, by what they say without their figures
}

// Day is a played day, second by second.
type Day struct {
	Instances int
	Skipped   int // lines that could not be read
	Seconds   []Second
}

// line is one line of a log: when in the day, and its fields.
type line struct {
	at     float64
	fields map[string]string
}

// ReadDay reads all files with the ending .log in dir. A line that can't be read is counted and passed over; a folder
// without one summary is an error.
func ReadDay(dir string) (*Day, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("day: no folder %s", dir)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("day: no .log file in %s", dir)
	}
	slices.Sort(files)
	d := &Day{Instances: len(files)}
	logs, first := make([][]line, 0, len(files)), time.Time{}
	for _, name := range files {
		lines, skipped, begun, err := readLog(name)
		if err != nil {
			return nil, fmt.Errorf("day: %s: %w", filepath.Base(name), err)
		}
		d.Skipped += skipped
		logs = append(logs, lines)
		if !begun.IsZero() && (first.IsZero() || begun.Before(first)) {
			first = begun
		}
	}
	if !first.IsZero() { // no line had its second before it
		for _, lines := range logs {
			for i := range lines {
				if at, err := time.Parse(time.RFC3339Nano, lines[i].fields["time"]); err == nil {
					lines[i].at = at.Sub(first).Seconds()
				}
			}
		}
	}
	summaries := 0
	for _, lines := range logs {
		n, err := d.add(lines)
		if err != nil {
			return nil, err
		}
		summaries += n
	}
	if summaries == 0 {
		return nil, fmt.Errorf("day: no summary in %s: marshals write them with serve --summary 1s", dir)
	}
	d.averageLevels()
	return d, nil
}

// readLog reads one marshal's log; begun is the time of its first line where no second stands before it.
func readLog(name string) (lines []line, skipped int, begun time.Time, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, begun, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLogLineBytes)
	for in.Scan() {
		l, ok := parseLine(in.Text())
		if !ok {
			skipped++
			continue
		}
		if l.at < 0 && begun.IsZero() {
			begun, _ = time.Parse(time.RFC3339Nano, l.fields["time"])
		}
		lines = append(lines, l)
	}
	return lines, skipped, begun, in.Err()
}

// parseLine takes one line apart; its second is below 0 where none stands before it.
func parseLine(text string) (line, bool) {
	l := line{at: -1, fields: map[string]string{}}
	if before, rest, ok := strings.Cut(text, " "); ok {
		if at, err := strconv.ParseFloat(before, 64); err == nil && at >= 0 {
			l.at, text = at, rest
		}
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	return l, d.Err() == nil && l.fields["msg"] != ""
}

// add takes one marshal's lines into the day and tells how many summaries it wrote. Counts run from its start; a count that
// falls has begun anew with another process. What was counted since the line before is spread evenly over the time between.
func (d *Day) add(lines []line) (summaries int, err error) {
	var last map[string]float64
	var at float64
	stood := -1 // the second of the newest summary; a marshal stands in a second as its last one there says
	stand := func() {
		if stood >= 0 {
			d.recordLevels(stood, last)
		}
	}
	defer stand()
	for _, l := range lines {
		if l.at < 0 || l.at >= maxSeconds {
			d.Skipped++
			continue
		}
		s := d.second(l.at)
		switch msg := l.fields["msg"]; {
		case msg == "serving":
			s.Starts++
			stand()
			stood = -1
			last, at = map[string]float64{}, l.at
		case msg != "summary":
			if l.fields["level"] != "debug" {
				s.Lines[withoutFigures(msg)]++
			}
		default:
			now, err := numbers(l.fields)
			if err != nil {
				return summaries, fmt.Errorf("day: summary at %.3f s: %w", l.at, err)
			}
			summaries++
			d.recordFlows(last, now, at, l.at)
			if stood != int(l.at) {
				stand()
			}
			last, at, stood = now, l.at, int(l.at)
		}
	}
	return summaries, nil
}

// numbers are the figures of a summary line.
func numbers(fields map[string]string) (map[string]float64, error) {
	n := map[string]float64{}
	for _, key := range slices.Concat(flows, levels, []string{"build", "stage", "verdict"}) {
		v, err := strconv.ParseFloat(fields[key], 64)
		if err != nil {
			return nil, fmt.Errorf("%s: want a number, got %q", key, fields[key])
		}
		n[key] = v
	}
	return n, nil
}

// flow spreads what was done between two summaries.
func (d *Day) recordFlows(last, now map[string]float64, from, to float64) {
	for _, key := range flows {
		done := now[key] - last[key]
		if last[key] > now[key] {
			done = now[key]
		}
		if done == 0 {
			continue
		}
		span := to - from
		for at := from; ; {
			end := min(float64(int(at)+1), to)
			part := 1.0
			if span > 0 {
				part = (end - at) / span
			}
			d.second(at).Flow[key] += done * part
			if at = end; at >= to {
				break
			}
		}
	}
}

// stand takes how things stood for a marshal in a second.
func (d *Day) recordLevels(second int, now map[string]float64) {
	s := &d.Seconds[second]
	s.Instances++
	for _, key := range levels {
		s.Level[key] += now[key]
	}
	build, stage := int(now["build"]), int(now["stage"])
	if build > s.Build {
		s.Build, s.Stage, s.Verdicts = build, stage, [verdictCount]int{}
	}
	if build == s.Build {
		s.Stage = max(s.Stage, stage)
		if v := int(now["verdict"]); v >= 0 && v < verdictCount {
			s.Verdicts[v]++
		}
	}
}

// settle makes means of the sums that second collected.
func (d *Day) averageLevels() {
	for i := range d.Seconds {
		s := &d.Seconds[i]
		for key := range s.Level {
			s.Level[key] /= float64(max(1, s.Instances))
		}
	}
}

// second is that of a time, made where it is new.
func (d *Day) second(at float64) *Second {
	for len(d.Seconds) <= int(at) {
		d.Seconds = append(d.Seconds, Second{Flow: map[string]float64{}, Level: map[string]float64{}, Lines: map[string]int{}})
	}
	return &d.Seconds[int(at)]
}

// plain is a text without its figures, so that lines that say the same count as one.
func withoutFigures(text string) string {
	var b strings.Builder
	figure := false
	for _, r := range text {
		digit := r >= '0' && r <= '9' || figure && r == '.'
		if digit && !figure {
			b.WriteByte('#')
		}
		if figure = digit; !digit {
			b.WriteRune(r)
		}
	}
	return b.String()
}

// Table writes the day in Markdown: a row for every step seconds, flows a second over the fleet, then the mean of a marshal.
func (d *Day) Table(w io.Writer, step int) error {
	step = max(1, step)
	head := slices.Concat([]string{"second", "marshals", "starts", "build", "on", "back"}, flows, levels)
	if _, err := fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" ---: |", len(head))); err != nil {
		return err
	}
	for from := 0; from < len(d.Seconds); from += step {
		part := d.Seconds[from:min(from+step, len(d.Seconds))]
		end, starts, wrote := &part[len(part)-1], 0, 0
		for i := range part {
			starts += part[i].Starts
			wrote = max(wrote, part[i].Instances)
			if part[i].Instances > 0 {
				end = &part[i]
			}
		}
		row := []string{
			strconv.Itoa(from), strconv.Itoa(wrote), strconv.Itoa(starts),
			fmt.Sprintf("%d/%d", end.Build, end.Stage), strconv.Itoa(end.Verdicts[1]), strconv.Itoa(end.Verdicts[3]),
		}
		for _, key := range flows {
			sum := 0.0
			for _, s := range part {
				sum += s.Flow[key]
			}
			row = append(row, strconv.FormatFloat(sum/float64(len(part)), 'f', 0, 64))
		}
		for _, key := range levels {
			row = append(row, strconv.FormatFloat(end.Level[key], 'f', 1, 64))
		}
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// Lines writes what marshals said beside their summaries: when first, when last, how often, and what.
func (d *Day) Lines(w io.Writer) error {
	type said struct{ first, last, times int }
	all := map[string]*said{}
	for i, s := range d.Seconds {
		for text, n := range s.Lines {
			if all[text] == nil {
				all[text] = &said{first: i}
			}
			all[text].last = i
			all[text].times += n
		}
	}
	texts := make([]string, 0, len(all))
	for text := range all {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, func(a, b string) int {
		if by := all[a].first - all[b].first; by != 0 {
			return by
		}
		return strings.Compare(a, b)
	})
	if len(texts) > 0 {
		if _, err := fmt.Fprint(w, "| first | last | times | line |\n| ---: | ---: | ---: | --- |\n"); err != nil {
			return err
		}
	}
	for _, text := range texts {
		s := all[text]
		if _, err := fmt.Fprintf(w, "| %d | %d | %d | %s |\n", s.first, s.last, s.times, strings.ReplaceAll(text, "|", "\\|")); err != nil {
			return err
		}
	}
	return nil
}

// Chart draws some columns of the day over its seconds, to a file, by its ending SVG or PNG.
func (d *Day) Chart(path string, columns []string) error {
	lines := make([]Line, 0, len(columns))
	for _, key := range columns {
		of := func(s Second) float64 { return s.Flow[key] }
		switch {
		case slices.Contains(flows, key):
		case slices.Contains(levels, key):
			of = func(s Second) float64 { return s.Level[key] }
		default:
			return fmt.Errorf("chart: no column %q; there are %s", key, strings.Join(slices.Concat(flows, levels), ", "))
		}
		l := Line{Name: key}
		for _, s := range d.Seconds {
			l.Figures = append(l.Figures, of(s))
		}
		lines = append(lines, l)
	}
	return TimeSeries(path, fmt.Sprintf("%d marshals", d.Instances), "second of the day", "a second, over the fleet; or the mean of a marshal", lines)
}
