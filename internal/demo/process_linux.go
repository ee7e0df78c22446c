package demo

import "syscall"

// processAttributes puts a process in its own process group, so that Ctrl-C reaches
// only the demo, and has the kernel kill it when its parent ends.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
