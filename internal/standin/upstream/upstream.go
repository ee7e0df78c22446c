package upstream

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// incarnation is the state of an upstream between a start and a crash. Requests of
// an earlier incarnation cannot affect the slots of a later one.
type incarnation struct {
	crashed  context.Context
	crash    context.CancelFunc
	slots    chan struct{}
	queued   atomic.Int64
	running  atomic.Int64
	finished atomic.Int64
	started  time.Time
}

// load is the number of running and waiting requests.
func (i *incarnation) load() int { return int(i.running.Load() + i.queued.Load()) }

// Upstream is a stand-in for one upstream.
type Upstream struct {
	config   Config
	recorder *Recorder
	service  *serviceTimes
	network  *network
	faults   faultTable
	health   health
	server   *http.Server
	// after is the timer for service times and delays. Tests replace it.
	after func(time.Duration) <-chan time.Time

	// port reserves the address while there is no listener.
	port *reservation

	mu           sync.Mutex
	servers      conc.WaitGroup
	listener     *listener
	conns        map[*conn]struct{}
	current      *incarnation
	down         bool
	refusing     bool
	draining     bool
	closed       bool
	lastAnswer   storedAnswer
	restartTimer *time.Timer
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// newUpstream binds the address and starts to serve. The caller must call close.
func newUpstream(config Config, recorder *Recorder, network *network, after func(time.Duration) <-chan time.Time) (*Upstream, error) {
	port, err := reserve(config.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "upstream %s", config.Name)
	}
	u := &Upstream{
		config:   config,
		recorder: recorder,
		network:  network,
		service:  newServiceTimes(config),
		after:    after,
		port:     port,
		conns:    map[*conn]struct{}{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.serveHealth)
	mux.HandleFunc("/", u.serveWork)
	u.server = &http.Server{
		Handler: mux,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		// Aborted handlers are injected faults, so they are not logged.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.startLocked(); err != nil {
		port.release()
		return nil, err
	}
	return u, nil
}

// startLocked starts a new incarnation.
func (u *Upstream) startLocked() error {
	ctx, cancel := context.WithCancel(context.Background())
	u.current = &incarnation{
		crashed: ctx,
		crash:   cancel,
		slots:   make(chan struct{}, u.config.Slots),
		started: time.Now(),
	}
	u.down = false
	u.draining = false
	return u.listenLocked()
}

// listenLocked starts to accept connections on the upstream's address, unless it
// does so already, refuses connections or is down.
func (u *Upstream) listenLocked() error {
	if u.listener != nil || u.refusing || u.down {
		return nil
	}
	bound, err := net.Listen("tcp", u.port.address)
	if err != nil {
		return eris.Wrapf(err, "upstream %s cannot listen on %s", u.config.Name, u.port.address)
	}
	l := &listener{Listener: bound, upstream: u, acceptDelay: millis(u.config.ConnectionCostMillis)}
	u.listener = l
	// Serve returns when Crash, SetRefusing or close closes the listener.
	u.servers.Go(func() { _ = u.server.Serve(l) })
	return nil
}

// closeListenerLocked closes the listener, so that new connections are refused.
func (u *Upstream) closeListenerLocked() {
	if u.listener != nil {
		// The listener is released even on an error.
		_ = u.listener.Close()
		u.listener = nil
	}
}

// admit registers a connection. It returns false if the listener was closed in the
// meantime or too many connections are open.
func (u *Upstream) admit(c *conn, l *listener) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != l {
		return false
	}
	if len(u.conns) >= u.config.MaxConnections {
		u.recorder.count(func(t *Totals) { t.ConnectionsRefused++ })
		return false
	}
	u.conns[c] = struct{}{}
	u.recorder.count(func(t *Totals) { t.Connections++ })
	return true
}

func (u *Upstream) removeConn(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// state returns the current incarnation and whether the upstream is draining.
func (u *Upstream) state() (*incarnation, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current, u.draining
}

// Crash aborts all requests and closes first the listener and then all
// connections, so that a client whose connection is closed cannot open a new one.
// If restartAfter is positive, the upstream restarts after that time.
func (u *Upstream) Crash(restartAfter time.Duration) {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	u.down = true
	u.closeListenerLocked()
	u.current.crash()
	open := u.openConnsLocked()
	if restartAfter > 0 {
		// The port is reserved, so listening on it again does not fail.
		u.restartTimer = time.AfterFunc(restartAfter, func() { _ = u.Restart() })
	}
	u.mu.Unlock()
	for _, c := range open {
		// The connection may be closed already.
		_ = c.abort()
	}
}

func (u *Upstream) openConnsLocked() []*conn {
	open := make([]*conn, 0, len(u.conns))
	for c := range u.conns {
		open = append(open, c)
	}
	return open
}

// Restart starts a crashed upstream on its old address. It is cold and not
// draining. Restart has no effect on a running upstream.
func (u *Upstream) Restart() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down || u.closed {
		return nil
	}
	if u.restartTimer != nil {
		u.restartTimer.Stop()
	}
	return u.startLocked()
}

// SetDraining starts or ends a drain. Requests that have a slot or wait for one are
// finished; new ones are refused.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	u.draining = draining
	u.mu.Unlock()
	u.recordSample()
}

// SetRefusing closes the listener, or opens it again. Open connections are not
// affected.
func (u *Upstream) SetRefusing(refusing bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusing = refusing
	if refusing {
		u.closeListenerLocked()
		return nil
	}
	return u.listenLocked()
}

// SilenceConnections makes the currently open connections silent permanently and
// returns their number.
func (u *Upstream) SilenceConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.silent.Store(true)
	}
	return len(u.conns)
}

func (u *Upstream) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	u.Crash(0)
	// Close returns an error for listeners that the crash has closed already.
	_ = u.server.Close()
	u.servers.Wait()
	u.port.release()
}
