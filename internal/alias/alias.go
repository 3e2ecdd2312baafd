// Package alias keeps the former names of renamed programs working. The main function of a program with a former name calls
// Exec with the present name.
package alias

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// exitFailure is the exit code if the program with the present name can't be started.
const exitFailure = 1

// Exec prints a notice with the present name on standard error, and replaces the process by the program of that name in the
// same directory, with the same arguments and environment. If that fails, Exec prints the error and exits with code 1. Exec
// does not return.
func Exec(program string) {
	formerName := filepath.Base(os.Args[0])
	err := execSibling(program)
	fmt.Fprintf(os.Stderr, "%s: %v\n", formerName, err)
	os.Exit(exitFailure)
}

// execSibling prints the notice and replaces the process. It returns only if that fails, with the error.
func execSibling(program string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this program: %w", err)
	}
	fmt.Fprintf(os.Stderr, "%s has been renamed to %s\n", filepath.Base(self), program)
	path := filepath.Join(filepath.Dir(self), program)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("start %s: %w", path, err)
	}
	return nil
}
