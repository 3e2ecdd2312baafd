package days

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"ottershed/internal/testbed/chart"
)

// Table writes the day in Markdown, a row for every step seconds: flows as the mean of a second of all instances
// together, levels as the mean of an instance at the end.
func (d *Day) Table(out io.Writer, step int) error {
	step = max(1, step)
	head := slices.Concat([]string{"second", "marshals", "starts", "build", "on", "back"}, flows, levels)
	_, err := fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" ---: |", len(head)))
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

// tableRow is the row of some seconds, which start at from. Its state is that of the last second with a summary.
func tableRow(from int, seconds []Second) []string {
	end := &seconds[len(seconds)-1]
	starts, instances := 0, 0
	for i := range seconds {
		starts += seconds[i].Starts
		instances = max(instances, seconds[i].Instances)
		if seconds[i].Instances > 0 {
			end = &seconds[i]
		}
	}
	row := []string{
		strconv.Itoa(from), strconv.Itoa(instances), strconv.Itoa(starts), fmt.Sprintf("%d/%d", end.Build, end.Stage),
		strconv.Itoa(end.Verdicts[verdictAdvance]), strconv.Itoa(end.Verdicts[verdictRollback]),
	}
	for _, key := range flows {
		sum := 0.0
		for _, s := range seconds {
			sum += s.Flow[key]
		}
		row = append(row, strconv.FormatFloat(sum/float64(len(seconds)), 'f', 0, 64))
	}
	for _, key := range levels {
		row = append(row, strconv.FormatFloat(end.Level[key], 'f', 1, 64))
	}
	return row
}

// occurrence is when and how often lines of one text were logged.
type occurrence struct {
	text        string
	first, last int // seconds
	times       int
}

// Lines writes the other lines of the logs in Markdown: first and last second, number and text.
func (d *Day) Lines(out io.Writer) error {
	all := d.occurrences()
	if len(all) > 0 {
		if _, err := fmt.Fprint(out, "| first | last | times | line |\n| ---: | ---: | ---: | --- |\n"); err != nil {
			return err
		}
	}
	for _, o := range all {
		text := strings.ReplaceAll(o.text, "|", "\\|")
		if _, err := fmt.Fprintf(out, "| %d | %d | %d | %s |\n", o.first, o.last, o.times, text); err != nil {
			return err
		}
	}
	return nil
}

// occurrences are the other lines by their first second, then by their text.
func (d *Day) occurrences() []*occurrence {
	byText := map[string]*occurrence{}
	var all []*occurrence
	for second, s := range d.Seconds {
		for text, times := range s.Lines {
			if byText[text] == nil {
				byText[text] = &occurrence{text: text, first: second}
				all = append(all, byText[text])
			}
			byText[text].last = second
			byText[text].times += times
		}
	}
	slices.SortFunc(all, func(a, b *occurrence) int {
		if by := a.first - b.first; by != 0 {
			return by
		}
		return strings.Compare(a.text, b.text)
	})
	return all
}

// Chart draws columns over the seconds of the day into a file; the ending of path, .svg or .png, chooses the format.
func (d *Day) Chart(path string, columns []string) error {
	lines := make([]chart.Line, 0, len(columns))
	for _, key := range columns {
		var figure func(Second) float64
		switch {
		case slices.Contains(flows, key):
			figure = func(s Second) float64 { return s.Flow[key] }
		case slices.Contains(levels, key):
			figure = func(s Second) float64 { return s.Level[key] }
		default:
			return fmt.Errorf("chart: no column %q; there are %s", key, strings.Join(slices.Concat(flows, levels), ", "))
		}
		line := chart.Line{Name: key}
		for _, s := range d.Seconds {
			line.Figures = append(line.Figures, figure(s))
		}
		lines = append(lines, line)
	}
	return chart.TimeSeries(path, fmt.Sprintf("%d marshals", d.Instances), "second of the day",
		"a second, over the fleet; or the mean of a marshal", lines)
}
