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

// incarnation is the state of an upstream between a start and a crash. Work of
// an earlier incarnation cannot touch the slots of a later one.
type incarnation struct {
	crashed context.Context
	crash   context.CancelFunc
	slots   chan struct{}
	queued  atomic.Int64
	running atomic.Int64
	ran     atomic.Int64
	started time.Time
}

// load is the number of running and waiting requests.
func (i *incarnation) load() int { return int(i.running.Load() + i.queued.Load()) }

// Upstream is one stand-in of an upstream.
type Upstream struct {
	config   Config
	recorder *Recorder
	service  *serviceTimes
	network  *network
	faults   faultTable
	health   health
	server   *http.Server
	// after times the work. Tests replace it.
	after func(time.Duration) <-chan time.Time

	// port holds the address while there is no listener.
	port *reservation

	mu          sync.Mutex
	servers     conc.WaitGroup
	listener    *listener
	conns       map[*conn]struct{}
	current     *incarnation
	down        bool
	refusing    bool
	draining    bool
	closed      bool
	lastAnswer  storedAnswer
	restartWait *time.Timer
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// newUpstream binds the address and serves until close.
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
		// Aborted handlers are faults on purpose and are not worth a log line.
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

// startLocked begins an incarnation.
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

// listenLocked accepts connections on the upstream's address.
func (u *Upstream) listenLocked() error {
	if u.listener != nil || u.refusing || u.down {
		return nil
	}
	bound, err := net.Listen("tcp", u.port.address)
	if err != nil {
		return eris.Wrapf(err, "upstream %s cannot listen on %s", u.config.Name, u.port.address)
	}
	l := &listener{Listener: bound, upstream: u, cost: millis(u.config.ConnectionCostMillis)}
	u.listener = l
	// Serve returns when the listener is closed by a crash, a refusal or the end.
	u.servers.Go(func() { _ = u.server.Serve(l) })
	return nil
}

// unlistenLocked closes the listener, so that new connections are refused.
func (u *Upstream) unlistenLocked() {
	if u.listener != nil {
		// The listener is dropped in any case.
		_ = u.listener.Close()
		u.listener = nil
	}
}

// admit registers a connection, unless the listener was closed in the meantime
// or too many connections are open.
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

func (u *Upstream) forget(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// state returns the incarnation and whether the upstream drains.
func (u *Upstream) state() (*incarnation, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current, u.draining
}

// Crash ends all work and closes the listener first and then all connections,
// so that a client that sees its connection end cannot open a new one. A
// positive restartAfter restarts the upstream after that time.
func (u *Upstream) Crash(restartAfter time.Duration) {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	u.down = true
	u.unlistenLocked()
	u.current.crash()
	open := u.openLocked()
	if restartAfter > 0 {
		// The port is reserved, so listening on it again does not fail.
		u.restartWait = time.AfterFunc(restartAfter, func() { _ = u.Restart() })
	}
	u.mu.Unlock()
	for _, c := range open {
		// The connection may have ended by itself.
		_ = c.abort()
	}
}

func (u *Upstream) openLocked() []*conn {
	open := make([]*conn, 0, len(u.conns))
	for c := range u.conns {
		open = append(open, c)
	}
	return open
}

// Restart starts a crashed upstream on its old address. It is cold and does not
// drain. A running upstream stays as it is.
func (u *Upstream) Restart() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down || u.closed {
		return nil
	}
	if u.restartWait != nil {
		u.restartWait.Stop()
	}
	return u.startLocked()
}

// Drain starts or ends a drain. Work that has a slot or waits for one is
// finished; new work is refused.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	u.draining = draining
	u.mu.Unlock()
	u.sampleLoad()
}

// Refuse closes the listener, or opens it again. Open connections go on.
func (u *Upstream) SetRefusing(refusing bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusing = refusing
	if refusing {
		u.unlistenLocked()
		return nil
	}
	return u.listenLocked()
}

// Silence makes the connections that are open now stop answering for good, and
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
	// Close reports the listeners that the crash has closed already.
	_ = u.server.Close()
	u.servers.Wait()
	u.port.release()
}
