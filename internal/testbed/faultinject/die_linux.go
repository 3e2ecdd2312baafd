package faultinject

import "syscall"

// dieWithParent has a process killed when the one that started it ends, however that ends.
func dieWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
