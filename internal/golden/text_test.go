package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// A file passes only if it is the same to the last byte; one that is missing never passes.
func TestCheck(t *testing.T) {
	storing := *update
	*update = false // also where the other tests store
	t.Cleanup(func() { *update = storing })
	path := filepath.Join(t.TempDir(), "stored.golden")
	if Check(path, nil) == nil {
		t.Error("a missing file passes")
	}
	if err := os.WriteFile(path, []byte("one\ntwo\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for observed, same := range map[string]bool{
		"one\ntwo\n": true, "one\ntwo": false, "one\nTwo\n": false,
		"one\ntwo\n\n": false, "": false,
	} {
		if err := Check(path, []byte(observed)); (err == nil) != same {
			t.Errorf("%q: %v", observed, err)
		}
	}
}

// Every byte of a line is visible, line ends and bytes that are no text included.
func TestQuote(t *testing.T) {
	if got, want := Quote([]byte("a\r\nb\xff")), "\"a\\r\\n\"\n\"b\\xff\"\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
