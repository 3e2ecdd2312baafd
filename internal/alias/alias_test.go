package alias

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runAs is the variable with the name of the program that the test's own program becomes.
const runAs = "ALIAS_TEST_RUN_AS"

func TestMain(m *testing.M) {
	if program := os.Getenv(runAs); program != "" {
		Become(program)
	}
	os.Exit(m.Run())
}

// A program of an earlier name prints the present one on standard error, and passes on arguments, output and exit code.
func TestBecome(t *testing.T) {
	self, err := os.ReadFile(os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	earlier := filepath.Join(dir, "earlier")
	if err := os.WriteFile(earlier, self, 0o700); err != nil {
		t.Fatal(err)
	}
	script := "#!/bin/sh\necho \"$@\"\nexit 7\n"
	if err := os.WriteFile(filepath.Join(dir, "later"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), earlier, "one", "two words")
	cmd.Env = append(os.Environ(), runAs+"=later")
	output, err := cmd.CombinedOutput()
	if want := "earlier is called later now\none two words\n"; string(output) != want || cmd.ProcessState.ExitCode() != 7 {
		t.Errorf("printed %q, want %q; ended with %v", output, want, err)
	}
}

// Where the program of the present name is missing, the exit code is 1.
func TestBecomeMissing(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runAs+"=no-such-program")
	if output, err := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != exitFailure {
		t.Errorf("printed %q, ended with %v", output, err)
	}
}
