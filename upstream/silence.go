package upstream

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silenceCheckInterval is the interval in which the acknowledgements of a connection are
// checked while a long body is sent.
const silenceCheckInterval = 100 * time.Millisecond

// minLostProbes is the number of unanswered window probes that count as silence.
const minLostProbes = 2

// SilentError reports a machine that did not acknowledge a long body.
type SilentError struct{}

func (*SilentError) Error() string {
	return "the machine acknowledged nothing for " + unacknowledgedTimeout.String()
}

// ackWatch detects that a machine does not acknowledge what was sent to it.
type ackWatch struct {
	// since is when the machine should have acknowledged something; zero if nothing is
	// outstanding.
	since time.Time
}

// observe takes whether an acknowledgement is outstanding and the time since the last
// one. It returns how long the machine has been silent.
func (s *ackWatch) observe(now time.Time, outstanding bool, lastAck time.Duration) time.Duration {
	if !outstanding {
		s.since = time.Time{}
		return 0
	}
	if s.since.IsZero() {
		s.since = now
	}
	if acked := now.Add(-lastAck); acked.After(s.since) {
		s.since = acked
	}
	return now.Sub(s.since)
}

// silenceWatch interrupts an exchange whose upstream's machine has become silent.
type silenceWatch struct {
	conn net.Conn
	raw  syscall.RawConn
	stop chan struct{}
	done sync.WaitGroup
	// silent is true if the exchange was interrupted; valid after end.
	silent bool
}

// watchSilence replaces TCP_USER_TIMEOUT, by which the kernel also ends a connection to
// a machine that acknowledges every probe while its process does not read. It returns
// nil, and the timeout stays, if the system does not report acknowledgements.
func watchSilence(conn net.Conn) *silenceWatch {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	w := &silenceWatch{conn: conn, raw: raw, stop: make(chan struct{})}
	if _, _, ok := w.acknowledgements(); !ok || setTimeout(raw, 0) != nil {
		return nil
	}
	w.done.Add(1)
	go w.run()
	return w
}

func (w *silenceWatch) run() {
	defer w.done.Done()
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	var s ackWatch
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			outstanding, lastAck, ok := w.acknowledgements()
			if ok && s.observe(now, outstanding, lastAck) >= unacknowledgedTimeout {
				w.silent = true
				_ = w.conn.SetDeadline(pastDeadline)
				return
			}
		}
	}
}

// end ends the watch and reports whether it interrupted the exchange.
func (w *silenceWatch) end() bool {
	if w == nil {
		return false
	}
	close(w.stop)
	w.done.Wait()
	// If this fails, the connection has failed too.
	_ = setTimeout(w.raw, unacknowledgedTimeout)
	return w.silent
}

// acknowledgements returns whether an acknowledgement is outstanding, and the time since
// the last one.
func (w *silenceWatch) acknowledgements() (outstanding bool, lastAck time.Duration, ok bool) {
	err := w.raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr != nil {
			return
		}
		ok = true
		outstanding = info.Unacked > 0 || info.Probes >= minLostProbes
		lastAck = time.Duration(info.Last_ack_recv) * time.Millisecond
	})
	return outstanding, lastAck, ok && err == nil
}

func setTimeout(raw syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
