package golden

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// CheckFile compares observed text with the golden file at path. The error describes the first line that differs. With
// -update it writes the file instead.
func CheckFile(path string, observed []byte) error {
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		return os.WriteFile(path, observed, 0o644)
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if bytes.Equal(stored, observed) {
		return nil
	}
	return fmt.Errorf("%s: %s", path, firstDifference(string(stored), string(observed)))
}

// firstDifference describes the first line in which two texts differ.
func firstDifference(stored, observed string) string {
	want, got := strings.SplitAfter(stored, "\n"), strings.SplitAfter(observed, "\n")
	for i := range max(len(want), len(got)) {
		if w, g := lineAt(want, i), lineAt(got, i); w != g {
			return fmt.Sprintf("line %d: got %q, want %q", i+1, g, w)
		}
	}
	return "equal"
}

// lineAt returns a line of a text, or "" past its end.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}

// Quote returns bytes as text with one quoted string per line, including the line ending.
func Quote(raw []byte) string {
	var b strings.Builder
	for _, line := range strings.SplitAfter(string(raw), "\n") {
		if line != "" {
			b.WriteString(strconv.Quote(line))
			b.WriteByte('\n')
		}
	}
	return b.String()
}

// Section returns a section of a golden file with its title.
func Section(title, text string) string { return "== " + title + "\n" + text }
