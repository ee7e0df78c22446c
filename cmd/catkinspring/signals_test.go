package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/catkinspring/catkinspring/platform/rig"
)

// commandVariable makes the test binary run the command line that it contains.
const commandVariable = "CATKINSPRING_TEST_COMMAND"

func TestMain(m *testing.M) {
	if command := os.Getenv(commandVariable); command != "" {
		os.Exit(run(strings.Fields(command), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// grace is the grace period of the processes.
const grace = 2 * time.Second

// freeAddresses returns addresses on loopback that no process listens on, at adjacent ports
// that the system gives to no outgoing connection.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	first, err := rig.FreePorts(n)
	require.NoError(t, err)
	var list []netip.AddrPort
	for i := range n {
		list = append(list, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(first+i)))
	}
	return list
}

// edgeProcess is a process of `catkinspring edge` whose store is not reachable.
type edgeProcess struct {
	*exec.Cmd
	callers string
	// settings is the settings file, content its content.
	settings, content string
	// log reads its log lines.
	log    *bufio.Reader
	output *os.File
}

func newEdgeProcess(t *testing.T) *edgeProcess {
	t.Helper()
	a := freeAddresses(t, 6)
	p := &edgeProcess{
		callers:  a[0].String(),
		settings: filepath.Join(t.TempDir(), "node.toml"),
		content: fmt.Sprintf(`NodeName = "h-1"
Ip = "127.0.0.1"
Zone = "z"
Region = "r"
InternalPorts = [%d,%d]
Bounds = ["Grace=%s"]
[Zones]
z = "r"
[Listen]
Public = "%s"
Readiness = "%s"
Directory = "%s"
[Limits]
MemoryMb = 256
MaxFds = 4096
[Platform]
Address = "%s"
`, a[4].Port(), a[5].Port(), grace, a[0], a[1], a[2], a[3]),
	}
	executable, err := os.Executable()
	require.NoError(t, err)
	p.Cmd = exec.Command(executable)
	// A race-detecting program otherwise sleeps for a second before it exits.
	p.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", commandVariable+"=edge --settings="+p.settings)
	p.Stderr = os.Stderr
	return p
}

func (p *edgeProcess) start(t *testing.T) {
	t.Helper()
	out, in, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = out.Close() })
	p.Stdout = in
	require.NoError(t, p.Start())
	require.NoError(t, in.Close())
	require.NoError(t, out.SetReadDeadline(time.Now().Add(time.Minute)))
	p.log, p.output = bufio.NewReader(out), out
	t.Cleanup(func() {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
}

// startEdgeProcess starts a process and waits until it serves.
func startEdgeProcess(t *testing.T) *edgeProcess {
	t.Helper()
	p := newEdgeProcess(t)
	require.NoError(t, os.WriteFile(p.settings, []byte(p.content), 0o600))
	p.start(t)
	p.awaitLine(t, "entry host started")
	return p
}

// fillLog fills the pipe of the log, so that the next line waits for the reader.
func (p *edgeProcess) fillLog(t *testing.T) {
	t.Helper()
	pipe, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", p.output.Fd()), unix.O_WRONLY|unix.O_NONBLOCK, 0)
	require.NoError(t, err)
	defer func() { _ = unix.Close(pipe) }()
	for part := make([]byte, 4096); len(part) > 0; {
		if _, err := unix.Write(pipe, part); err != nil {
			require.ErrorIs(t, err, unix.EAGAIN)
			part = part[:len(part)/2]
		}
	}
}

// awaitLine reads log lines up to one with the message.
func (p *edgeProcess) awaitLine(t *testing.T, message string) {
	t.Helper()
	for {
		line, err := p.log.ReadString('\n')
		require.NoError(t, err, "the log ended before %q", message)
		if strings.Contains(line, `"message":"`+message+`"`) {
			return
		}
	}
}

func (p *edgeProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	require.NoError(t, p.Process.Signal(s))
}

// halfSentRequest sends a request of which half of the body is missing. The returned
// function sends the rest and reads the response.
func (p *edgeProcess) halfSentRequest(t *testing.T) (finish func() *http.Response) {
	t.Helper()
	c, err := net.Dial("tcp", p.callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	return func() *http.Response {
		_, err := io.WriteString(c, "dy")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return response
	}
}

// Guards against signals that end a process without a planned stop while it starts.
func TestSignalDuringStartDoesNotEndTheProcess(t *testing.T) {
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			p := newEdgeProcess(t)
			// The process waits for the content of its settings file.
			require.NoError(t, syscall.Mkfifo(p.settings, 0o600))
			p.start(t)
			file, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
			require.NoError(t, err)
			p.signal(t, s)
			_, err = io.WriteString(file, p.content)
			require.NoError(t, err)
			require.NoError(t, file.Close())
			p.awaitLine(t, "entry host started")
			if s == syscall.SIGHUP {
				p.signal(t, syscall.SIGTERM)
			}
			p.awaitLine(t, "entry host stopped")
			require.NoError(t, p.Wait())
		})
	}
}

// Guards against further signals that end a planned stop before requests are answered.
func TestSignalsDuringPlannedStopLoseNoRequest(t *testing.T) {
	t.Parallel()
	p := startEdgeProcess(t)
	finish := p.halfSentRequest(t)
	p.signal(t, syscall.SIGTERM)
	p.awaitLine(t, "planned stop begins")
	for range 20 {
		p.signal(t, syscall.SIGHUP)
		p.signal(t, syscall.SIGTERM)
	}
	require.Equal(t, http.StatusServiceUnavailable, finish().StatusCode)
	p.awaitLine(t, "entry host stopped")
	require.NoError(t, p.Wait())
}

// Guards against a process that ends, with all its requests, because the reader of its
// log has ended.
func TestClosedStandardOutputDoesNotEndTheProcess(t *testing.T) {
	t.Parallel()
	p := startEdgeProcess(t)
	require.NoError(t, p.output.Close())
	finish := p.halfSentRequest(t)
	p.signal(t, syscall.SIGTERM)
	require.Equal(t, http.StatusServiceUnavailable, finish().StatusCode)
	require.NoError(t, p.Wait())
}

// Guards against a planned stop that waits for the reader of the log until the platform
// kills the process.
func TestStalledLogReaderDoesNotDelayTheStop(t *testing.T) {
	t.Parallel()
	p := startEdgeProcess(t)
	p.fillLog(t)
	p.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(grace):
		require.NoError(t, p.Process.Kill())
		<-ended
		t.Fatal("the process still runs at the end of the grace period")
	}
}

// Guards against a grace period that begins when the start is complete instead of with the
// signal.
func TestGracePeriodBeginsWithTheSignal(t *testing.T) {
	t.Parallel()
	p := newEdgeProcess(t)
	require.NoError(t, syscall.Mkfifo(p.settings, 0o600))
	p.start(t)
	file, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	p.signal(t, syscall.SIGTERM)
	signalled := time.Now()
	time.Sleep(grace / 4) // the start takes that long
	_, err = io.WriteString(file, p.content)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	p.awaitLine(t, "entry host started")
	p.halfSentRequest(t)
	p.awaitLine(t, "entry host stopped")
	require.NoError(t, p.Wait())
	require.Less(t, time.Since(signalled), grace)
}
