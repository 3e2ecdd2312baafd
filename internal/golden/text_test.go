package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// A text passes only if it equals the file to the last byte; a missing file never passes.
func TestCheck(t *testing.T) {
	rewriting := *update
	*update = false // also where the run rewrites the files of other tests
	t.Cleanup(func() { *update = rewriting })
	path := filepath.Join(t.TempDir(), "stored.golden")
	if Check(path, nil) == nil {
		t.Error("a missing file passes")
	}
	if err := os.WriteFile(path, []byte("one\ntwo\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		observed string
		same     bool
	}{
		"same":              {"one\ntwo\n", true},
		"no last line end":  {"one\ntwo", false},
		"a letter differs":  {"one\nTwo\n", false},
		"one line end more": {"one\ntwo\n\n", false},
		"empty":             {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := Check(path, []byte(test.observed)); (err == nil) != test.same {
				t.Errorf("%q: %v", test.observed, err)
			}
		})
	}
}

// Every byte of a line is visible, line ends and bytes that are not UTF-8 included.
func TestQuote(t *testing.T) {
	if got, want := Quote([]byte("a\r\nb\xff")), "\"a\\r\\n\"\n\"b\\xff\"\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
