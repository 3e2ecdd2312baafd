//go:build !linux

package faultinject

import "syscall"

// dieWithParent is not available here: a process outlives the one that started it where that ends without killing it.
func dieWithParent() *syscall.SysProcAttr { return nil }
