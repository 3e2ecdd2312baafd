package days

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"ottershed/internal/testbed/chart"
)

// WriteTable writes the day as a Markdown table with one row per step seconds. Counters are rates per second, summed
// over all instances. Gauges are means over instances at the end of the row. A step below 1 counts as 1.
func (d *Day) WriteTable(out io.Writer, step int) error {
	step = max(1, step)
	header := slices.Concat([]string{"second", "marshals", "starts", "build", "on", "back"}, counterFields, gaugeFields)
	_, err := fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat(" ---: |", len(header)))
	if err != nil {
		return err
	}
	for from := 0; from < len(d.Seconds); from += step {
		row := tableRow(from, d.Seconds[from:min(from+step, len(d.Seconds))])
		if _, err := fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// tableRow returns the row for consecutive seconds that begin with second from of the day. Gauges come from the last
// second with a summary.
func tableRow(from int, seconds []Second) []string {
	lastState := &seconds[len(seconds)-1]
	starts, instances := 0, 0
	for i := range seconds {
		starts += seconds[i].Starts
		instances = max(instances, seconds[i].Instances)
		if seconds[i].Instances > 0 {
			lastState = &seconds[i]
		}
	}
	row := []string{
		strconv.Itoa(from), strconv.Itoa(instances), strconv.Itoa(starts),
		fmt.Sprintf("%d/%d", lastState.Build, lastState.Stage),
		strconv.Itoa(lastState.Verdicts[verdictAdvance]), strconv.Itoa(lastState.Verdicts[verdictRollback]),
	}
	for _, key := range counterFields {
		events := 0.0
		for _, s := range seconds {
			events += s.Counts[key]
		}
		row = append(row, strconv.FormatFloat(events/float64(len(seconds)), 'f', 0, 64))
	}
	for _, key := range gaugeFields {
		row = append(row, strconv.FormatFloat(lastState.Gauges[key], 'f', 1, 64))
	}
	return row
}

// occurrence records when and how often lines with one text were logged.
type occurrence struct {
	text        string
	first, last int // seconds of the day
	count       int
}

// WriteOtherLines writes the log lines in Second.OtherLines as a Markdown table: first second, last second, count and
// text. It writes nothing if there are none.
func (d *Day) WriteOtherLines(out io.Writer) error {
	all := d.occurrences()
	if len(all) > 0 {
		if _, err := fmt.Fprint(out, "| first | last | times | line |\n| ---: | ---: | ---: | --- |\n"); err != nil {
			return err
		}
	}
	for _, o := range all {
		text := strings.ReplaceAll(o.text, "|", "\\|")
		if _, err := fmt.Fprintf(out, "| %d | %d | %d | %s |\n", o.first, o.last, o.count, text); err != nil {
			return err
		}
	}
	return nil
}

// occurrences returns the other lines, sorted by first second and then by text.
func (d *Day) occurrences() []*occurrence {
	byText := map[string]*occurrence{}
	var all []*occurrence
	for second, s := range d.Seconds {
		for text, times := range s.OtherLines {
			if byText[text] == nil {
				byText[text] = &occurrence{text: text, first: second}
				all = append(all, byText[text])
			}
			byText[text].last = second
			byText[text].count += times
		}
	}
	slices.SortFunc(all, func(a, b *occurrence) int {
		if order := a.first - b.first; order != 0 {
			return order
		}
		return strings.Compare(a.text, b.text)
	})
	return all
}

// WriteChart draws columns over the seconds of the day to a file. The extension of path, .svg or .png, sets the format.
// It returns an error for a column that is no counter or gauge of the summary line.
func (d *Day) WriteChart(path string, columns []string) error {
	curves := make([]chart.Series, 0, len(columns))
	for _, key := range columns {
		var value func(Second) float64
		switch {
		case slices.Contains(counterFields, key):
			value = func(s Second) float64 { return s.Counts[key] }
		case slices.Contains(gaugeFields, key):
			value = func(s Second) float64 { return s.Gauges[key] }
		default:
			return fmt.Errorf("chart: unknown column %q, want one of %s", key,
				strings.Join(slices.Concat(counterFields, gaugeFields), ", "))
		}
		curve := chart.Series{Name: key}
		for _, s := range d.Seconds {
			curve.Values = append(curve.Values, value(s))
		}
		curves = append(curves, curve)
	}
	return chart.TimeSeries(path, fmt.Sprintf("%d instances", d.Instances), "second of the day",
		"events per second over all instances, or mean per instance", curves)
}
