// Package days reads the logs of all balancers of a cluster over a day of operation and joins them second by second:
// what the cluster did in each second, and the state that it was in at its end.
//
// Read takes a directory with one .log file an instance, as `balancer serve --summary 1s` writes them. A line may
// start with a number: the second of the day by the clock of whoever ran the cluster. Without it, seconds count from
// the first line of the whole day by the lines' own times, which is right only where all instances read one clock.
//
//	day, err := days.Read("logs")
//	err = day.Table(os.Stdout, 5) // a row for five seconds
//
// Files: day.go (a day and how summaries become seconds), logline.go (one log file and its lines), report.go (table,
// other lines, chart).
//
// The names of columns are the fields of the balancer's summary line; operators search for them, so they stay as they
// are.
package days

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// Columns of a day, by the fields of a summary line.
var (
	// flows count what was done since an instance started.
	flows = []string{
		"taken", "forwarded", "delivered", "missed", "bounced", "errored", "gone", "cancelled", "full",
		"unreachable", "broken", "timedout", "failed", "opened", "refused", "probes", "lists", "votes",
	}
	// levels are the state at the time of the line.
	levels = []string{"held", "nodes", "cold", "away", "out", "waiting"}
	// trial is the state of the newest build's trial at the time of the line.
	trial = []string{"build", "stage", "verdict"}
)

const (
	maxSeconds = 1 << 17 // of a day; a line that claims to be later is skipped

	verdictCount    = 4 // verdicts of a summary line: 0 none, 1 advance, 2 hold, 3 rollback
	verdictAdvance  = 1
	verdictRollback = 3
)

// Second is what all instances did in one second of a day, and their state at its end.
type Second struct {
	Instances int                // that wrote a summary
	Flow      map[string]float64 // done in this second, all instances together, by the names of flows
	Level     map[string]float64 // mean of an instance, by the names of levels
	Build     int                // the newest that any instance knows
	Stage     int                // the highest that any instance knows of that build
	Verdicts  [verdictCount]int  // instances by their verdict on that build: none, advance, hold, rollback
	Starts    int                // instances that began to serve
	Lines     map[string]int     // other lines of level info and above, by their text without its figures
}

// Day is what a cluster did, second by second.
type Day struct {
	Instances int
	Skipped   int // lines that could not be read
	Seconds   []Second
}

// Read reads all files of dir with the ending .log. A line that can't be read is counted and skipped; a directory
// without a single summary is an error.
func Read(dir string) (*Day, error) {
	files, err := logFiles(dir)
	if err != nil {
		return nil, err
	}
	day := &Day{Instances: len(files)}
	logs := make([]logFile, 0, len(files))
	for _, name := range files {
		log, err := readLog(name)
		if err != nil {
			return nil, fmt.Errorf("day: %s: %w", filepath.Base(name), err)
		}
		day.Skipped += log.skipped
		logs = append(logs, log)
	}
	placeByTime(logs)
	summaries := 0
	for _, log := range logs {
		count, err := day.add(log.lines)
		if err != nil {
			return nil, err
		}
		summaries += count
	}
	if summaries == 0 {
		return nil, fmt.Errorf("day: no summary in %s: balancers write them with serve --summary 1s", dir)
	}
	day.averageLevels()
	return day, nil
}

// logFiles are the paths of a day's logs, sorted.
func logFiles(dir string) ([]string, error) {
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
	return files, nil
}

// instanceLog is what is known of one instance while its log is read from start to end.
type instanceLog struct {
	day       *Day
	last      map[string]float64 // figures of the newest summary
	lastAt    float64            // its time in seconds
	unsettled int                // the second whose state the newest summary gives; -1: none
	summaries int
}

// add adds one instance's lines to the day and returns how many summaries they hold.
func (d *Day) add(lines []logLine) (summaries int, err error) {
	log := instanceLog{day: d, unsettled: -1}
	defer log.settle()
	for _, line := range lines {
		if line.at < 0 || line.at >= maxSeconds {
			d.Skipped++
			continue
		}
		second := d.second(line.at)
		switch message := line.fields["msg"]; message {
		case "serving":
			second.Starts++
			log.restart(line.at)
		case "summary":
			if err := log.summary(line); err != nil {
				return log.summaries, err
			}
		default:
			if line.fields["level"] != "debug" {
				second.Lines[withoutFigures(message)]++
			}
		}
	}
	return log.summaries, nil
}

// restart begins the counts of a new process.
func (l *instanceLog) restart(at float64) {
	l.settle()
	l.unsettled = -1
	l.last, l.lastAt = map[string]float64{}, at
}

// summary records what was done since the summary before. The state of a second is that of the last summary in it, so
// it is recorded only when the next second's first summary comes.
func (l *instanceLog) summary(line logLine) error {
	figures, err := line.figures()
	if err != nil {
		return fmt.Errorf("day: summary at %.3f s: %w", line.at, err)
	}
	l.summaries++
	l.day.recordFlows(l.last, figures, l.lastAt, line.at)
	if l.unsettled != int(line.at) {
		l.settle()
	}
	l.last, l.lastAt, l.unsettled = figures, line.at, int(line.at)
	return nil
}

// settle records the instance's state at the end of a second.
func (l *instanceLog) settle() {
	if l.unsettled >= 0 {
		l.day.recordLevels(l.unsettled, l.last)
	}
}

// recordFlows spreads what was done between two summaries evenly over the seconds between them. A count that has fallen
// has started again from 0 in another process.
func (d *Day) recordFlows(last, now map[string]float64, from, until float64) {
	for _, key := range flows {
		done := now[key] - last[key]
		if last[key] > now[key] {
			done = now[key]
		}
		if done != 0 {
			d.spread(key, done, from, until)
		}
	}
}

// spread adds a flow to the seconds of a span, each by its part of the span.
func (d *Day) spread(key string, done, from, until float64) {
	span := until - from
	for at := from; ; {
		end := min(float64(int(at)+1), until)
		part := 1.0
		if span > 0 {
			part = (end - at) / span
		}
		d.second(at).Flow[key] += done * part
		at = end
		if at >= until {
			return
		}
	}
}

// recordLevels adds an instance's state to a second.
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

// averageLevels turns the sums that recordLevels collected into means of an instance.
func (d *Day) averageLevels() {
	for i := range d.Seconds {
		s := &d.Seconds[i]
		for key := range s.Level {
			s.Level[key] /= float64(max(1, s.Instances))
		}
	}
}

// second is the one that a time in seconds falls in; the day grows to hold it.
func (d *Day) second(at float64) *Second {
	for len(d.Seconds) <= int(at) {
		d.Seconds = append(d.Seconds, Second{
			Flow: map[string]float64{}, Level: map[string]float64{}, Lines: map[string]int{},
		})
	}
	return &d.Seconds[int(at)]
}
