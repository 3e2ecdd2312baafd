package faultinject

import "syscall"

// parentDeathSignal makes the kernel kill a process when its parent ends, even if the parent is killed.
func parentDeathSignal() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
