package demo

import "syscall"

// processAttributes puts a process in a group of its own, so that Ctrl-C reaches
// the demo only, and lets the kernel end it with its parent.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
