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

// summaryLine returns a summary line with the given "key=value" pairs and 0 for all other fields.
func summaryLine(set string) string {
	values := map[string]string{}
	for pair := range strings.FieldsSeq(set) {
		k, v, _ := strings.Cut(pair, "=")
		values[k] = v
	}
	var b strings.Builder
	b.WriteString(`time="2026-12-01T00:00:00.000Z" level=info msg=summary`)
	for _, key := range slices.Concat(trialFields, counterFields, gaugeFields) {
		v := values[key]
		if v == "" {
			v = "0"
		}
		fmt.Fprintf(&b, " %s=%s", key, v)
	}
	return b.String()
}

const servingLine = `time="2026-12-01T00:00:00.000Z" level=info msg=serving nodes=3`

func writeLogs(t *testing.T, logs map[string][]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, lines := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatalf("write log %s: %v", name, err)
		}
	}
	return dir
}

// readTwoInstanceDay reads a day of two instances, of which the first restarts, with one line that cannot be parsed.
func readTwoInstanceDay(t *testing.T) *Day {
	t.Helper()
	day, err := Read(writeLogs(t, map[string][]string{
		"a.log": {
			"0.000 " + servingLine, "1.000 " + summaryLine("taken=10 cold=2 build=7 verdict=1"),
			"1.000 " + summaryLine("taken=10 cold=2 build=7 verdict=1"), // two summaries in one second: the instance counts once
			"3.000 " + summaryLine("taken=30 opened=4 cold=4 build=7 stage=1 verdict=3"),
			`3.100 time="2026-12-01T00:00:00.000Z" level=info msg="vote 3 on build 7 stage 1: slower, by 1.25 at last"`,
			"5.500 " + servingLine, "6.500 " + summaryLine("taken=5 build=7"),
		},
		"b.log": {
			"0.500 " + servingLine, "1.500 " + summaryLine("taken=8 build=6 verdict=1"), `not a line "`,
			`2.000 time="2026-12-01T00:00:00.000Z" level=info msg="vote 3 on build 7 stage 0: slower, by 9.5 at last"`,
		},
		"notes.txt": {"skipped"},
	}))
	if err != nil {
		t.Fatalf("read day of two instances: %v", err)
	}
	return day
}

// Counters run from the start of a process. The events between two summaries are distributed over the seconds between
// them, and a restarted instance counts from 0; otherwise events would be counted twice or subtracted.
func TestReadDayDistributesCounts(t *testing.T) {
	day := readTwoInstanceDay(t)
	taken := make([]float64, len(day.Seconds))
	for i, s := range day.Seconds {
		taken[i] = s.Counts["taken"]
	}
	if want := []float64{14, 14, 10, 0, 0, 2.5, 2.5}; fmt.Sprint(taken) != fmt.Sprint(want) {
		t.Errorf("taken = %v, want %v", taken, want)
	}
	if s := day.Seconds[1]; s.Instances != 2 || s.Build != 7 ||
		s.Verdicts != [verdictCount]int{0, 1} || s.Gauges["cold"] != 1 {
		t.Errorf("second 1: got %+v, want 2 instances, build 7, verdicts [0 1 0 0] and cold 1", s)
	}
	if day.Instances != 2 || day.Skipped != 1 || day.Seconds[5].Starts != 1 ||
		math.Abs(day.Seconds[2].Counts["opened"]-2) > 1e-9 {
		t.Errorf("day: got %d instances, %d skipped lines, second 2 %+v, second 5 %+v; "+
			"want 2 instances, 1 skipped line, 2 opened in second 2 and 1 start in second 5",
			day.Instances, day.Skipped, day.Seconds[2], day.Seconds[5])
	}
	t.Run("table", func(t *testing.T) { checkTable(t, day) })
	t.Run("chart", func(t *testing.T) { checkChart(t, day) })
}

// checkTable checks the table and the other lines of readTwoInstanceDay.
func checkTable(t *testing.T, day *Day) {
	t.Helper()
	var table, lines strings.Builder
	if err := day.WriteTable(&table, 4); err != nil || strings.Count(table.String(), "\n") != 4 ||
		!strings.Contains(table.String(), "| 0 | 2 | 2 | 7/1 | 0 | 1 | 10 |") {
		t.Errorf("WriteTable: error %v, want 4 lines and the row of second 0 in the table:\n%s", err, &table)
	}
	if err := day.WriteOtherLines(&lines); err != nil || !strings.Contains(lines.String(),
		"| 2 | 3 | 2 | vote # on build # stage #: slower, by # at last |") {
		t.Errorf("WriteOtherLines: error %v, want both votes counted in one line, in the lines:\n%s", err, &lines)
	}
}

// checkChart checks that a chart is drawn, and that an unknown column is an error that names the column.
func checkChart(t *testing.T, day *Day) {
	t.Helper()
	chart := filepath.Join(t.TempDir(), "day.svg")
	if err := day.WriteChart(chart, []string{"taken", "cold"}); err != nil {
		t.Errorf("WriteChart with known columns: %v", err)
	}
	if info, err := os.Stat(chart); err != nil || info.Size() == 0 {
		t.Errorf("chart file is missing or empty: %v", err)
	}
	if err := day.WriteChart(chart, []string{"hits"}); err == nil || !strings.Contains(err.Error(), `"hits"`) {
		t.Errorf("WriteChart with an unknown column: got error %v, want one that names the column", err)
	}
}

// Lines without a second are aligned by their timestamps, counted from the first line of the whole day.
func TestReadDayAlignsByTimestamp(t *testing.T) {
	at := func(second, text string) string { return strings.Replace(text, "00:00:00", "00:00:"+second, 1) }
	d, err := Read(writeLogs(t, map[string][]string{
		"a.log": {at("10", servingLine), at("12", summaryLine("taken=6"))},
		"b.log": {at("11", servingLine), at("12", summaryLine("taken=1"))},
	}))
	if err != nil || len(d.Seconds) != 3 || d.Seconds[0].Counts["taken"] != 3 || d.Seconds[1].Counts["taken"] != 4 {
		t.Errorf("Read: error %v, got %+v, want 3 seconds, 3 taken in the first and 4 in the second", err, d)
	}
}

func TestReadDayRejectsInvalidLogs(t *testing.T) {
	malformed := strings.Replace(summaryLine(""), "taken=0", "taken=x", 1)
	for name, tc := range map[string]struct {
		logs map[string][]string
		want string
	}{
		"no log":          {nil, "no .log file"},
		"no summary":      {map[string][]string{"a.log": {"0.1 " + servingLine}}, "--summary 1s"},
		"malformed value": {map[string][]string{"a.log": {"0.1 " + malformed}}, `taken: want a number, got "x"`},
	} {
		if _, err := Read(writeLogs(t, tc.logs)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want one with %q", name, err, tc.want)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil || !strings.Contains(err.Error(), "does not exist") {
		t.Errorf("missing directory: got error %v, want one with \"does not exist\"", err)
	}
}
