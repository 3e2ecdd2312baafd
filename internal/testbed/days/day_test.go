package days

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// summaryLine is a summary line with these figures, all others 0.
func summaryLine(set string) string {
	at := map[string]string{}
	for pair := range strings.FieldsSeq(set) {
		k, v, _ := strings.Cut(pair, "=")
		at[k] = v
	}
	var b strings.Builder
	b.WriteString(`time="2026-12-01T00:00:00.000Z" level=info msg=summary`)
	for _, key := range slices.Concat(trial, flows, levels) {
		v := at[key]
		if v == "" {
			v = "0"
		}
		fmt.Fprintf(&b, " %s=%s", key, v)
	}
	return b.String()
}

const serving = `time="2026-12-01T00:00:00.000Z" level=info msg=serving nodes=3`

func writeLogs(t *testing.T, logs map[string][]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, lines := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// dayOfTwo is a day of two instances, the first of which restarts, with a line that can't be read.
func dayOfTwo(t *testing.T) *Day {
	t.Helper()
	day, err := Read(writeLogs(t, map[string][]string{
		"a.log": {
			"0.000 " + serving, "1.000 " + summaryLine("taken=10 cold=2 build=7 verdict=1"),
			"1.000 " + summaryLine("taken=10 cold=2 build=7 verdict=1"), // twice in a second: the instance counts once
			"3.000 " + summaryLine("taken=30 opened=4 cold=4 build=7 stage=1 verdict=3"),
			`3.100 time="2026-12-01T00:00:00.000Z" level=info msg="vote 3 on build 7 stage 1: slower, by 1.25 at last"`,
			"5.500 " + serving, "6.500 " + summaryLine("taken=5 build=7"),
		},
		"b.log": {
			"0.500 " + serving, "1.500 " + summaryLine("taken=8 build=6 verdict=1"), `not a line "`,
			`2.000 time="2026-12-01T00:00:00.000Z" level=info msg="vote 3 on build 7 stage 0: slower, by 9.5 at last"`,
		},
		"notes.txt": {"skipped"},
	}))
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// Counts run from the start of a process: what was done between two lines is spread over the time between them, and a
// restarted instance counts from 0, so that nothing is counted twice or subtracted.
func TestReadDay(t *testing.T) {
	day := dayOfTwo(t)
	taken := make([]float64, len(day.Seconds))
	for i, s := range day.Seconds {
		taken[i] = s.Flow["taken"]
	}
	if want := []float64{14, 14, 10, 0, 0, 2.5, 2.5}; fmt.Sprint(taken) != fmt.Sprint(want) {
		t.Errorf("taken %v, want %v", taken, want)
	}
	if s := day.Seconds[1]; s.Instances != 2 || s.Build != 7 ||
		s.Verdicts != [verdictCount]int{0, 1} || s.Level["cold"] != 1 {
		t.Errorf("second 1: %+v", s)
	}
	if day.Instances != 2 || day.Skipped != 1 || day.Seconds[5].Starts != 1 ||
		math.Abs(day.Seconds[2].Flow["opened"]-2) > 1e-9 {
		t.Errorf("day: %d instances, %d skipped, %+v", day.Instances, day.Skipped, day.Seconds[2])
	}
	t.Run("table", func(t *testing.T) { checkTable(t, day) })
	t.Run("chart", func(t *testing.T) { checkChart(t, day) })
}

// checkTable checks the table and the other lines of dayOfTwo.
func checkTable(t *testing.T, day *Day) {
	t.Helper()
	var table, lines strings.Builder
	if err := day.Table(&table, 4); err != nil || strings.Count(table.String(), "\n") != 4 ||
		!strings.Contains(table.String(), "| 0 | 2 | 2 | 7/1 | 0 | 1 | 10 |") {
		t.Errorf("table, %v:\n%s", err, &table)
	}
	if err := day.Lines(&lines); err != nil || !strings.Contains(lines.String(),
		"| 2 | 3 | 2 | vote # on build # stage #: slower, by # at last |") {
		t.Errorf("lines, %v:\n%s", err, &lines)
	}
}

// checkChart checks that a chart is drawn, and that a column that does not exist is an error which names it.
func checkChart(t *testing.T, day *Day) {
	t.Helper()
	chart := filepath.Join(t.TempDir(), "day.svg")
	if err := day.Chart(chart, []string{"taken", "cold"}); err != nil {
		t.Error(err)
	}
	if info, err := os.Stat(chart); err != nil || info.Size() == 0 {
		t.Errorf("chart: %v", err)
	}
	if err := day.Chart(chart, []string{"hits"}); err == nil || !strings.Contains(err.Error(), `"hits"`) {
		t.Errorf("column that does not exist: %v", err)
	}
}

// Lines that do not start with their second are placed by their own time, from the first line of the whole day.
func TestReadDayByTime(t *testing.T) {
	at := func(second, text string) string { return strings.Replace(text, "00:00:00", "00:00:"+second, 1) }
	d, err := Read(writeLogs(t, map[string][]string{
		"a.log": {at("10", serving), at("12", summaryLine("taken=6"))},
		"b.log": {at("11", serving), at("12", summaryLine("taken=1"))},
	}))
	if err != nil || len(d.Seconds) != 3 || d.Seconds[0].Flow["taken"] != 3 || d.Seconds[1].Flow["taken"] != 4 {
		t.Errorf("%v: %+v", err, d)
	}
}

func TestReadDayFaults(t *testing.T) {
	malformed := strings.Replace(summaryLine(""), "taken=0", "taken=x", 1)
	for name, tc := range map[string]struct {
		logs  map[string][]string
		fault string
	}{
		"no log":     {nil, "no .log file"},
		"no summary": {map[string][]string{"a.log": {"0.1 " + serving}}, "--summary 1s"},
		"a figure":   {map[string][]string{"a.log": {"0.1 " + malformed}}, `taken: want a number, got "x"`},
	} {
		if _, err := Read(writeLogs(t, tc.logs)); err == nil || !strings.Contains(err.Error(), tc.fault) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil || !strings.Contains(err.Error(), "no folder") {
		t.Errorf("no folder: %v", err)
	}
}
