//go:build !linux

package faultnet

import "syscall"

func dieWithParent() *syscall.SysProcAttr { return nil }
