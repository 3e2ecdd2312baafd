// Package alias keeps the earlier names of the programs working. A program of an earlier name has a main function that calls
// Become with the present name.
package alias

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// exitFailure is the exit code of a program that can't start the one of its present name.
const exitFailure = 1

// Become prints the present name on standard error and replaces the process by the program of that name in the same directory,
// with the same arguments and environment. Where that fails, it prints why and exits. It does not return.
func Become(program string) {
	earlier := filepath.Base(os.Args[0])
	err := become(program)
	fmt.Fprintf(os.Stderr, "%s: %v\n", earlier, err)
	os.Exit(exitFailure)
}

// become does the same, and returns the error where that fails.
func become(program string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%s is called %s now\n", filepath.Base(self), program)
	path := filepath.Join(filepath.Dir(self), program)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("start %s: %w", path, err)
	}
	return nil
}
