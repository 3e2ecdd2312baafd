package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// A text passes only if it equals the file byte for byte. A missing file never passes.
func TestCheckFileComparesBytes(t *testing.T) {
	rewriting := *update
	*update = false // in case the test run uses -update
	t.Cleanup(func() { *update = rewriting })
	path := filepath.Join(t.TempDir(), "stored.golden")
	if CheckFile(path, nil) == nil {
		t.Error("CheckFile with a missing file returns no error")
	}
	if err := os.WriteFile(path, []byte("one\ntwo\n"), 0o600); err != nil {
		t.Fatalf("write the stored file: %v", err)
	}
	for name, test := range map[string]struct {
		observed  string
		wantEqual bool
	}{
		"same":                  {"one\ntwo\n", true},
		"missing final newline": {"one\ntwo", false},
		"different letter":      {"one\nTwo\n", false},
		"additional newline":    {"one\ntwo\n\n", false},
		"empty":                 {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := CheckFile(path, []byte(test.observed)); (err == nil) != test.wantEqual {
				t.Errorf("CheckFile(%q): got error %v, want equal %v", test.observed, err, test.wantEqual)
			}
		})
	}
}

// Quote makes every byte visible, including line endings and invalid UTF-8.
func TestQuoteShowsEveryByte(t *testing.T) {
	if got, want := Quote([]byte("a\r\nb\xff")), "\"a\\r\\n\"\n\"b\\xff\"\n"; got != want {
		t.Errorf("Quote: got %q, want %q", got, want)
	}
}
