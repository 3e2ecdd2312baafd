// Package alias keeps the earlier names of the programs working: a program of an earlier name says what it is called now
// and becomes the program of that name.
package alias

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// exitFailure is the exit code where the program can't be started.
const exitFailure = 1

// Become replaces the process by the program of this name from the same directory, with the same arguments and
// environment. It returns only by ending the process.
func Become(program string) {
	earlier := filepath.Base(os.Args[0])
	err := become(program)
	fmt.Fprintf(os.Stderr, "%s: %v\n", earlier, err)
	os.Exit(exitFailure)
}

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
