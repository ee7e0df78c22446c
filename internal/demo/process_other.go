//go:build !linux

package demo

import "syscall"

// processAttributes puts a process in a group of its own, so that Ctrl-C reaches
// the demo only.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
