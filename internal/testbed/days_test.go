package testbed

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// logged is a summary line with these figures, all others 0.
func summaryLine(set string) string {
	at := map[string]string{}
	for pair := range strings.FieldsSeq(set) {
		k, v, _ := strings.Cut(pair, "=")
		at[k] = v
	}
	var b strings.Builder
	b.WriteString(`time="2026-12-01T00:00:00.000Z" level=info msg=summary`)
	for _, key := range append(append([]string{"build", "stage", "verdict"}, flows...), levels...) {
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
	dir := t.TempDir()
	for name, lines := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Counts run from a marshal's start: what is between two lines is spread over the time between, and a marshal that starts
// anew counts from nothing, so that nothing is counted twice and nothing is taken away.
func TestReadDay(t *testing.T) {
	d, err := ReadDay(writeLogs(t, map[string][]string{
		"a.log": {
			"0.000 " + serving, "1.000 " + summaryLine("taken=10 cold=2 build=7 verdict=1"),
			"1.000 " + summaryLine("taken=10 cold=2 build=7 verdict=1"), // twice in a second: it stands there once
			"3.000 " + summaryLine("taken=30 opened=4 cold=4 build=7 stage=1 verdict=3"),
			`3.100 time="2026-12-01T00:00:00.000Z" level=info msg="vote 3 on build 7 stage 1: slower, by 1.25 at last"`,
			"5.500 " + serving, "6.500 " + summaryLine("taken=5 build=7"),
		},
		"b.log": {
			"0.500 " + serving, "1.500 " + summaryLine("taken=8 build=6 verdict=1"), `not a line "`,
			`2.000 time="2026-12-01T00:00:00.000Z" level=info msg="vote 3 on build 7 stage 0: slower, by 9.5 at last"`,
		},
		"notes.txt": {"passed over"},
	}))
	if err != nil {
		t.Fatal(err)
	}
	taken := make([]float64, len(d.Seconds))
	for i, s := range d.Seconds {
		taken[i] = s.Flow["taken"]
	}
	if want := []float64{14, 14, 10, 0, 0, 2.5, 2.5}; fmt.Sprint(taken) != fmt.Sprint(want) {
		t.Errorf("taken %v, want %v", taken, want)
	}
	if s := d.Seconds[1]; s.Instances != 2 || s.Build != 7 || s.Verdicts != [verdictCount]int{0, 1} || s.Level["cold"] != 1 {
		t.Errorf("second 1: %+v", s)
	}
	if d.Instances != 2 || d.Skipped != 1 || d.Seconds[5].Starts != 1 || math.Abs(d.Seconds[2].Flow["opened"]-2) > 1e-9 {
		t.Errorf("day: %d marshals, %d skipped, %+v", d.Instances, d.Skipped, d.Seconds[2])
	}
	var table, lines strings.Builder
	if err := d.Table(&table, 4); err != nil || strings.Count(table.String(), "\n") != 4 ||
		!strings.Contains(table.String(), "| 0 | 2 | 2 | 7/1 | 0 | 1 | 10 |") {
		t.Errorf("table, %v:\n%s", err, &table)
	}
	if err := d.Lines(&lines); err != nil || !strings.Contains(lines.String(),
		"| 2 | 3 | 2 | vote # on build # stage #: slower, by # at last |") {
		t.Errorf("lines, %v:\n%s", err, &lines)
	}
	chart := filepath.Join(t.TempDir(), "day.svg")
	if err := d.Chart(chart, []string{"taken", "cold"}); err != nil {
		t.Error(err)
	}
	if info, err := os.Stat(chart); err != nil || info.Size() == 0 {
		t.Errorf("chart: %v", err)
	}
	if err := d.Chart(chart, []string{"hits"}); err == nil || !strings.Contains(err.Error(), `"hits"`) {
		t.Errorf("a column that is not there: %v", err)
	}
}

// Without seconds before them, lines count by their own time from the first of the whole day.
func TestReadDayByTime(t *testing.T) {
	at := func(second, text string) string { return strings.Replace(text, "00:00:00", "00:00:"+second, 1) }
	d, err := ReadDay(writeLogs(t, map[string][]string{
		"a.log": {at("10", serving), at("12", summaryLine("taken=6"))},
		"b.log": {at("11", serving), at("12", summaryLine("taken=1"))},
	}))
	if err != nil || len(d.Seconds) != 3 || d.Seconds[0].Flow["taken"] != 3 || d.Seconds[1].Flow["taken"] != 4 {
		t.Errorf("%v: %+v", err, d)
	}
}

func TestReadDayFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		logs  map[string][]string
		fault string
	}{
		"no log":     {nil, "no .log file"},
		"no summary": {map[string][]string{"a.log": {"0.1 " + serving}}, "--summary 1s"},
		"a figure":   {map[string][]string{"a.log": {"0.1 " + strings.Replace(summaryLine(""), "taken=0", "taken=x", 1)}}, `taken: want a number, got "x"`},
	} {
		if _, err := ReadDay(writeLogs(t, tc.logs)); err == nil || !strings.Contains(err.Error(), tc.fault) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ReadDay(filepath.Join(t.TempDir(), "none")); err == nil || !strings.Contains(err.Error(), "no folder") {
		t.Errorf("no folder: %v", err)
	}
}
