package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/timeline"
)

// Timing of connections.
const (
	idleTimeout      = 5 * time.Second
	keepAlivePeriod  = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	transferTimeout  = 30 * time.Second
)

// Limits of a connection; the windows are in bytes. The windows bound the memory
// that a peer can fill. Only responses to configuration requests fill them, so in
// practice 64 peers with windows of the maximum size stay far below the memory of a
// host.
const (
	initialStreamWindow     = 64 << 10
	maxStreamWindow         = 1 << 20
	initialConnectionWindow = 128 << 10
	maxConnectionWindow     = 2 << 20
	maxLargeTransfers       = 4
)

// Config is the configuration of a Transport.
type Config struct {
	Self fleet.Member
	Cell string
	// Listen is the UDP address for connections in both directions.
	Listen netip.AddrPort
	Files  Files
	// Types are the message types of all modules.
	Types []machine.MessageType
	// Receive is called for each message of a peer, from several goroutines. Small
	// messages of one peer arrive in the order sent. While it blocks, nothing more
	// is read from that peer.
	Receive func(from fleet.Member, message machine.Message)
	// Failed is called, if set, when a connection could not be established, with an
	// error of this package or of quic-go. host is empty if unknown.
	Failed func(host fleet.HostID, err error)
	// Timeline orders events between sender and receiver; it may be nil.
	Timeline *timeline.Clock
	// Metrics receives the counters; if nil, a private registry is used.
	Metrics metrics.Registry
}

// Transport exchanges messages with peers. All methods are safe for concurrent
// use.
type Transport struct {
	config     Config
	version    uint16
	codec      *Codec
	identities *identityStore
	counters   *counters
	quic       *quic.Transport
	listener   *quic.Listener
	socket     *net.UDPConn

	ctx    context.Context
	cancel context.CancelFunc
	group  *conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	remotes map[fleet.HostID]*remote
}

// Listen starts a transport. It returns a *ConfigError, *CertificateError,
// *UnknownHostError, *MessageError or *ListenError.
func Listen(config Config) (*Transport, error) {
	return listen(config, ProtocolVersion)
}

// listen starts a transport that uses the given version of the protocol.
func listen(config Config, version uint16) (*Transport, error) {
	if config.Receive == nil || config.Self.Host == "" || config.Self.Incarnation.IsZero() {
		return nil, &ConfigError{Reason: "Self and Receive are required"}
	}
	codec, err := NewCodec(config.Types)
	if err != nil {
		return nil, err
	}
	identities, err := newIdentityStore(config.Files, config.Self.Host)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, &ListenError{Address: config.Listen.String(), Cause: err}
	}
	t := &Transport{
		config:     config,
		version:    version,
		codec:      codec,
		identities: identities,
		counters:   newCounters(config.Metrics),
		quic:       &quic.Transport{Conn: socket},
		socket:     socket,
		group:      conc.NewWaitGroup(),
		remotes:    map[fleet.HostID]*remote{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(identities.serverConfig(), quicConfig())
	if err != nil {
		t.cancel()
		_ = socket.Close()
		return nil, &ListenError{Address: config.Listen.String(), Cause: err}
	}
	t.group.Go(t.acceptLoop)
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          maxLargeTransfers,
	}
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetPeers replaces the hosts to keep connections to. Any other host of the fleet
// can still connect, and messages can then be sent to it.
func (t *Transport) SetPeers(peers map[fleet.HostID]netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	for id, address := range peers {
		if id != t.config.Self.Host && address.IsValid() {
			t.remoteLocked(id).setAddress(address)
		}
	}
	for id, r := range t.remotes {
		if _, wanted := peers[id]; !wanted {
			r.setAddress(netip.AddrPort{})
		}
	}
}

// remoteLocked returns the state of a peer and creates it if needed. t.mu is held.
func (t *Transport) remoteLocked(id fleet.HostID) *remote {
	r := t.remotes[id]
	if r == nil {
		r = newRemote(t, id)
		t.remotes[id] = r
		t.group.Go(r.dialLoop)
	}
	return r
}

// Send queues a message for a peer. It never blocks. It returns a *MessageError
// for a message that can't be encoded, and *UnknownHostError for a host that is
// neither in SetPeers nor connected. Delivery is not guaranteed: when the queue is
// full, the oldest message is dropped and counted.
func (t *Transport) Send(to fleet.HostID, message machine.Message) error {
	wire, err := t.codec.Encode(message)
	if err != nil {
		return err
	}
	t.mu.Lock()
	r := t.remotes[to]
	t.mu.Unlock()
	if r == nil || !r.canSend() {
		t.counters.dropsUnknown.Inc(1)
		return &UnknownHostError{Host: to}
	}
	r.enqueue(t.appendTimestamp(wire))
	return nil
}

// Close closes all connections and waits for all goroutines. Messages that are
// still queued are lost.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	remotes := t.remotes
	t.mu.Unlock()
	t.cancel()
	for _, r := range remotes {
		r.closeConnection()
	}
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.socket.Close()
	t.group.Wait()
	return nil
}

func (t *Transport) reportFailure(host fleet.HostID, err error) {
	t.counters.failures.Inc(1)
	if t.config.Failed != nil && t.ctx.Err() == nil {
		t.config.Failed(host, err)
	}
}

func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.group.Go(func() { t.serve(conn) })
	}
}

// serve checks an incoming connection and runs it until it closes.
func (t *Transport) serve(conn *quic.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	host := certificateHost(conn.ConnectionState().TLS.PeerCertificates[0])
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		t.reportFailure(host, err)
		_ = conn.CloseWithError(closeProtocol, "no stream")
		return
	}
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	member, checkErr := t.receiveHello(stream, host)
	// The response is always sent, so that the peer can detect a version mismatch.
	if err := t.sendHello(stream); err != nil && checkErr == nil {
		checkErr = err
	}
	if checkErr != nil {
		t.reportFailure(host, checkErr)
		waitClosed(ctx, conn)
		_ = conn.CloseWithError(closeProtocol, "hello refused")
		return
	}
	t.run(&connection{conn: conn, stream: stream, member: member})
}

// waitClosed waits until the peer closes a connection or the context ends.
func waitClosed(ctx context.Context, conn *quic.Conn) {
	select {
	case <-conn.Context().Done():
	case <-ctx.Done():
	}
}

// dial connects to a peer and runs the connection until it closes. It reports
// whether the connection was established.
func (t *Transport) dial(host fleet.HostID, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	conn, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(address), t.identities.config(host), quicConfig())
	if err != nil {
		t.reportFailure(host, err)
		return false
	}
	stream, member, err := t.exchangeHello(ctx, conn, host)
	if err != nil {
		t.reportFailure(host, err)
		_ = conn.CloseWithError(closeProtocol, "hello refused")
		return false
	}
	t.run(&connection{conn: conn, stream: stream, member: member, dialed: true})
	return true
}

func (t *Transport) exchangeHello(ctx context.Context, conn *quic.Conn, host fleet.HostID) (*quic.Stream, fleet.Member, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fleet.Member{}, err
	}
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := t.sendHello(stream); err != nil {
		return nil, fleet.Member{}, err
	}
	member, err := t.receiveHello(stream, host)
	return stream, member, err
}
