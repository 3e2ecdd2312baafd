// Package days reads the logs of all balancers of a cluster and aggregates them per second of a day: the work that the
// cluster did in each second and its state at the end of that second.
//
// Read takes a directory with one .log file per instance, as `balancer serve --summary 1s` writes them. A line may
// start with a number: the second of the day on the clock of the test driver. If any log has a line without that
// number, seconds are counted by the lines' own timestamps from the first such line, which requires that all instances
// share one clock.
//
//	day, err := days.Read("logs")
//	err = day.WriteTable(os.Stdout, 5) // one row per five seconds
//
// Files: day.go (aggregation of summaries), logline.go (parsing of one log file), report.go (table, other lines,
// chart).
//
// Column names are the field names of the balancer's summary line. They must not change, because operators search for
// them.
package days

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// Fields of a summary line, which are also the columns of a day.
var (
	// counterFields count events since the instance started.
	counterFields = []string{
		"taken", "forwarded", "delivered", "missed", "bounced", "errored", "gone", "cancelled", "full",
		"unreachable", "broken", "timedout", "failed", "opened", "refused", "probes", "lists", "votes",
	}
	// gaugeFields hold the state at the time of the line.
	gaugeFields = []string{"held", "nodes", "cold", "away", "out", "waiting"}
	// trialFields hold the state of the newest build's trial at the time of the line.
	trialFields = []string{"build", "stage", "verdict"}
)

const (
	maxSeconds = 1 << 17 // maximum length of a day in seconds; lines of later seconds are skipped

	verdictCount    = 4 // number of verdicts; their values in a summary line: 0 none, 1 advance, 2 hold, 3 rollback
	verdictAdvance  = 1
	verdictRollback = 3
)

// Second holds the work that all instances did in one second of a day and their state at its end.
type Second struct {
	Instances  int                // instances with a summary in this second
	Counts     map[string]float64 // events in this second, summed over instances, by counterFields name
	Gauges     map[string]float64 // gauges in the last summary of this second, mean over instances, by gaugeFields name
	Build      int                // newest build that any instance reports
	Stage      int                // highest stage that any instance reports for that build
	Verdicts   [verdictCount]int  // instances by their verdict on that build, indexed by verdict
	Starts     int                // instances that logged the start of serving
	OtherLines map[string]int     // counts of other lines of level info and above, by text with numbers masked
}

// Day holds the activity of a cluster, second by second.
type Day struct {
	Instances int // number of log files, one per instance
	Skipped   int // lines that could not be parsed or lie outside the day
	Seconds   []Second
}

// Read reads all .log files of dir. Lines that cannot be parsed are counted in Day.Skipped. It returns an error if dir
// has no .log file or no summary line.
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
			return nil, fmt.Errorf("read log %s: %w", filepath.Base(name), err)
		}
		day.Skipped += log.skipped
		logs = append(logs, log)
	}
	alignByTimestamp(logs)
	summaries := 0
	for _, log := range logs {
		count, err := day.addLines(log.lines)
		if err != nil {
			return nil, err
		}
		summaries += count
	}
	if summaries == 0 {
		return nil, fmt.Errorf("no summary line in %s: run the balancers with serve --summary 1s", dir)
	}
	day.averageGauges()
	return day, nil
}

// logFiles returns the sorted paths of the .log files of dir.
func logFiles(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("list log files: %w", err)
	}
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("log directory %s does not exist", dir)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no .log file in %s", dir)
	}
	slices.Sort(files)
	return files, nil
}

// instanceLog holds the state of reading one instance's log from start to end.
type instanceLog struct {
	day           *Day
	newest        map[string]float64 // values of the newest summary
	newestAt      float64            // time of the newest summary, or of the start of the process, in seconds
	pendingSecond int                // second whose gauges are taken from the newest summary; -1 if none
	summaries     int
}

// addLines adds one instance's lines to the day and returns the number of summaries among them.
func (d *Day) addLines(lines []logLine) (summaries int, err error) {
	log := instanceLog{day: d, pendingSecond: -1}
	defer log.recordPending()
	for _, line := range lines {
		if line.at < 0 || line.at >= maxSeconds {
			d.Skipped++
			continue
		}
		second := d.secondAt(line.at)
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
				second.OtherLines[maskNumbers(message)]++
			}
		}
	}
	return log.summaries, nil
}

// restart resets the counters at the start of a new process.
func (l *instanceLog) restart(at float64) {
	l.recordPending()
	l.pendingSecond = -1
	l.newest, l.newestAt = map[string]float64{}, at
}

// summary records the events since the previous summary. The gauges of a second come from its last summary, so they are
// recorded only when a summary of a later second arrives.
func (l *instanceLog) summary(line logLine) error {
	values, err := line.summaryValues()
	if err != nil {
		return fmt.Errorf("parse summary at %.3f s: %w", line.at, err)
	}
	l.summaries++
	l.day.recordCounts(l.newest, values, l.newestAt, line.at)
	if l.pendingSecond != int(line.at) {
		l.recordPending()
	}
	l.newest, l.newestAt, l.pendingSecond = values, line.at, int(line.at)
	return nil
}

// recordPending records the gauges of the second that the newest summary belongs to.
func (l *instanceLog) recordPending() {
	if l.pendingSecond >= 0 {
		l.day.recordGauges(l.pendingSecond, l.newest)
	}
}

// recordCounts distributes the events between two summaries evenly over the seconds between them. A counter that has
// decreased belongs to a new process and has started again from 0.
func (d *Day) recordCounts(previous, current map[string]float64, from, until float64) {
	for _, key := range counterFields {
		count := current[key] - previous[key]
		if previous[key] > current[key] {
			count = current[key]
		}
		if count != 0 {
			d.distribute(key, count, from, until)
		}
	}
}

// distribute adds a count to the seconds of a time span, in proportion to the overlap with each second. An empty span
// adds the whole count to its second.
func (d *Day) distribute(key string, count, from, until float64) {
	span := until - from
	for at := from; ; {
		end := min(float64(int(at)+1), until)
		fraction := 1.0
		if span > 0 {
			fraction = (end - at) / span
		}
		d.secondAt(at).Counts[key] += count * fraction
		at = end
		if at >= until {
			return
		}
	}
}

// recordGauges adds an instance's state to a second.
func (d *Day) recordGauges(second int, values map[string]float64) {
	s := &d.Seconds[second]
	s.Instances++
	for _, key := range gaugeFields {
		s.Gauges[key] += values[key]
	}
	build, stage := int(values["build"]), int(values["stage"])
	if build > s.Build {
		s.Build, s.Stage, s.Verdicts = build, stage, [verdictCount]int{}
	}
	if build == s.Build {
		s.Stage = max(s.Stage, stage)
		if v := int(values["verdict"]); v >= 0 && v < verdictCount {
			s.Verdicts[v]++
		}
	}
}

// averageGauges turns the sums that recordGauges collected into means over instances.
func (d *Day) averageGauges() {
	for i := range d.Seconds {
		s := &d.Seconds[i]
		for key := range s.Gauges {
			s.Gauges[key] /= float64(max(1, s.Instances))
		}
	}
}

// secondAt returns the entry for a time in seconds and extends the day to include that time.
func (d *Day) secondAt(at float64) *Second {
	for len(d.Seconds) <= int(at) {
		d.Seconds = append(d.Seconds, Second{
			Counts: map[string]float64{}, Gauges: map[string]float64{}, OtherLines: map[string]int{},
		})
	}
	return &d.Seconds[int(at)]
}
