package alias

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// targetEnv is the environment variable that makes the test binary call Exec with its value.
const targetEnv = "ALIAS_TEST_RUN_AS"

func TestMain(m *testing.M) {
	if program := os.Getenv(targetEnv); program != "" {
		Exec(program)
	}
	os.Exit(m.Run())
}

// A program with a former name prints a notice with the present name, and passes on arguments, output and exit code.
func TestExecPassesArgumentsAndExitCode(t *testing.T) {
	self, err := os.ReadFile(os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	former := filepath.Join(dir, "former")
	if err := os.WriteFile(former, self, 0o700); err != nil {
		t.Fatal(err)
	}
	script := "#!/bin/sh\necho \"$@\"\nexit 7\n"
	if err := os.WriteFile(filepath.Join(dir, "present"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), former, "one", "two words")
	cmd.Env = append(os.Environ(), targetEnv+"=present")
	output, err := cmd.CombinedOutput()
	if want := "former has been renamed to present\none two words\n"; string(output) != want || cmd.ProcessState.ExitCode() != 7 {
		t.Errorf("program with the former name: got output %q, error %v, want %q, exit code 7", output, err, want)
	}
}

// If the program with the present name is missing, the exit code is 1.
func TestExecWithoutProgramFails(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), targetEnv+"=no-such-program")
	if output, err := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != exitFailure {
		t.Errorf("program without its present name: got output %q, error %v, want exit code %d", output, err, exitFailure)
	}
}
