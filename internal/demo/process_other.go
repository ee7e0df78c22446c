//go:build !linux

package demo

import "syscall"

// processAttributes puts a process in its own process group, so that Ctrl-C reaches
// only the demo.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
