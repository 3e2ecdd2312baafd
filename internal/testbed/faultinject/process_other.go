//go:build !linux

package faultinject

import "syscall"

// parentDeathSignal returns nil, because only Linux supports Pdeathsig: on other systems a process outlives a parent
// that ends without killing it.
func parentDeathSignal() *syscall.SysProcAttr { return nil }
