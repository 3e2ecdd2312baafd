package faultinject

import "syscall"

// dieWithParent makes the kernel kill a process when the one that started it ends, however that ends.
func dieWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
