package peer

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// testTimeout bounds every wait for a goroutine.
const testTimeout = 10 * time.Second

type testMessage struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Body  []byte
}

func (testMessage) MessageNumber() uint16 { return 900 }

var testMessageTypes = []machine.MessageType{machine.TypeOf[testMessage]()}

type received struct {
	from        fleet.Member
	testMessage testMessage
}

// endpoint is a transport under test.
type endpoint struct {
	*Transport
	incoming chan received
	failures chan error
	registry metrics.Registry
}

func (e *endpoint) count(name string) int64 {
	return metrics.GetOrRegisterCounter("peer."+name, e.registry).Count()
}

func member(host fleet.HostID, incarnation byte) fleet.Member {
	return fleet.Member{Host: host, Incarnation: fleet.Incarnation{incarnation}}
}

func newAuthorityDirectory(t *testing.T) (string, *Authority) {
	t.Helper()
	directory := t.TempDir()
	authority, err := NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	require.NoError(t, authority.Write(directory))
	return directory, authority
}

func issueHost(t *testing.T, a *Authority, directory string, host fleet.HostID) Files {
	t.Helper()
	files, err := a.IssueHost(host, directory, time.Now(), time.Hour)
	require.NoError(t, err)
	return files
}

func startEndpoint(t *testing.T, files Files, self fleet.Member, version uint16) *endpoint {
	t.Helper()
	stopped := make(chan struct{})
	e := &endpoint{incoming: make(chan received, 1000), failures: make(chan error, 100), registry: metrics.NewRegistry()}
	transport, err := listen(Config{
		Self:    self,
		Cell:    "a",
		Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
		Files:   files,
		Types:   testMessageTypes,
		Metrics: e.registry,
		Receive: func(from fleet.Member, m machine.Message) {
			select {
			case e.incoming <- received{from, m.(testMessage)}:
			case <-stopped:
			}
		},
		Failed: func(_ fleet.HostID, err error) {
			select {
			case e.failures <- err:
			default:
			}
		},
	}, version)
	require.NoError(t, err)
	t.Cleanup(func() {
		// Messages that the test does not read must not make Close wait for Receive.
		close(stopped)
		require.NoError(t, transport.Close())
	})
	e.Transport = transport
	return e
}

func await[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		require.FailNow(t, "nothing arrived")
		panic("unreachable")
	}
}

func connect(a, b *endpoint) {
	a.SetPeers(map[fleet.HostID]netip.AddrPort{b.config.Self.Host: b.Address()})
	b.SetPeers(map[fleet.HostID]netip.AddrPort{a.config.Self.Host: a.Address()})
}

func connectedPair(t *testing.T) (a, b *endpoint) {
	t.Helper()
	directory, authority := newAuthorityDirectory(t)
	a = startEndpoint(t, issueHost(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	b = startEndpoint(t, issueHost(t, authority, directory, "b"), member("b", 2), ProtocolVersion)
	connect(a, b)
	return a, b
}

// TestExchangeInBothDirections checks, in both directions, the order and sender of
// small messages and the largest message that configuration needs.
func TestExchangeInBothDirections(t *testing.T) {
	a, b := connectedPair(t)
	for i := range 100 {
		require.NoError(t, a.Send("b", testMessage{Index: i}))
		require.NoError(t, b.Send("a", testMessage{Index: i}))
	}
	for i := range 100 {
		require.Equal(t, received{member("a", 1), testMessage{Index: i}}, await(t, b.incoming))
		require.Equal(t, received{member("b", 2), testMessage{Index: i}}, await(t, a.incoming))
	}
	shard := bytes.Repeat([]byte{7}, 1<<20)
	require.NoError(t, a.Send("b", testMessage{Index: 1, Body: shard}))
	require.Equal(t, shard, await(t, b.incoming).testMessage.Body)
	require.Greater(t, a.count("bytes.out"), int64(1<<20))
	require.Zero(t, a.count("drops.queue"))
	require.Error(t, a.Send("b", testMessage{Body: make([]byte, MaxMessageSize)}))
}

// TestUnknownCertificate guards against a process without a certificate of the
// fleet reading or sending anything.
func TestUnknownCertificate(t *testing.T) {
	directory, authority := newAuthorityDirectory(t)
	a := startEndpoint(t, issueHost(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	otherDirectory, other := newAuthorityDirectory(t)
	b := startEndpoint(t, issueHost(t, other, otherDirectory, "b"), member("b", 2), ProtocolVersion)
	connect(a, b)
	require.NoError(t, a.Send("b", testMessage{}))
	require.NoError(t, b.Send("a", testMessage{}))
	for range 4 {
		require.Error(t, await(t, a.failures))
		require.Error(t, await(t, b.failures))
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	client := &quic.Transport{Conn: socket}
	conn, err := client.Dial(t.Context(), net.UDPAddrFromAddrPort(a.Address()),
		&tls.Config{InsecureSkipVerify: true, NextProtos: []string{applicationProtocol}}, quicConfig())
	if err == nil {
		await(t, conn.Context().Done())
	}
	require.NoError(t, client.Close())
	require.NoError(t, socket.Close())
	require.Empty(t, a.incoming)
	require.Empty(t, b.incoming)
	require.Zero(t, a.count("messages.in")+b.count("messages.in"))
}

// TestWrongPeer guards against accepting a host that answers at the address of
// another one, a wrong cell or a wrong version.
func TestWrongPeer(t *testing.T) {
	directory, authority := newAuthorityDirectory(t)
	a := startEndpoint(t, issueHost(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	b := startEndpoint(t, issueHost(t, authority, directory, "b"), member("b", 2), ProtocolVersion+1)
	a.SetPeers(map[fleet.HostID]netip.AddrPort{"c": b.Address()})
	var unknown *UnknownHostError
	require.ErrorAs(t, await(t, a.failures), &unknown)
	require.Equal(t, UnknownHostError{Host: "b", Expected: "c"}, *unknown)
	b.SetPeers(map[fleet.HostID]netip.AddrPort{"a": a.Address()})
	for {
		var version *VersionError
		if err := await(t, b.failures); !errorAs(err, &version) {
			continue
		}
		require.Equal(t, VersionError{Host: "a", Version: ProtocolVersion}, *version)
		break
	}
	var cell *CellError
	_, err := (&hello{Version: 1, Cell: "b", Host: "a", Incarnation: fleet.Incarnation{1}}).check("a", 1, "a")
	require.ErrorAs(t, err, &cell)
	require.ErrorAs(t, a.Send("nobody", testMessage{}), &unknown)
}

// TestCertificateRotation guards against a new CA or certificate that takes effect
// only after a restart.
func TestCertificateRotation(t *testing.T) {
	directory, authority := newAuthorityDirectory(t)
	files := issueHost(t, authority, directory, "a")
	store, err := newIdentityStore(files, "a")
	require.NoError(t, err)
	next, err := NewAuthority("next", time.Now(), time.Hour)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.CA, append(authority.PEM(), next.PEM()...), 0o600))
	issueHost(t, next, directory, "a")
	before := store.get().certificate.Certificate[0]
	store.readAt = time.Time{}
	require.NotEqual(t, before, store.get().certificate.Certificate[0])
	require.NoError(t, os.Remove(files.Key))
	store.readAt = time.Time{}
	require.NotNil(t, store.get(), "an unreadable file must not stop the transport")
	_, err = newIdentityStore(issueHost(t, authority, directory, "b"), "a")
	var unknown *UnknownHostError
	require.ErrorAs(t, err, &unknown)
	loaded, err := LoadAuthority(directory)
	require.NoError(t, err)
	_, err = newIdentityStore(issueHost(t, loaded, directory, "c"), "c")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.CA, next.PEM(), 0o600))
	_, err = LoadAuthority(directory)
	require.Error(t, err, "LoadAuthority must reject a key that belongs to another CA")
}

// TestReconnect guards against a peer that stays disconnected after a restart,
// and against messages delivered under its old incarnation.
func TestReconnect(t *testing.T) {
	directory, authority := newAuthorityDirectory(t)
	a := startEndpoint(t, issueHost(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	files := issueHost(t, authority, directory, "b")
	b := startEndpoint(t, files, member("b", 2), ProtocolVersion)
	connect(a, b)
	require.NoError(t, a.Send("b", testMessage{Index: 1}))
	await(t, b.incoming)
	require.NoError(t, b.Close())
	restarted := startEndpoint(t, files, member("b", 3), ProtocolVersion)
	connect(a, restarted)
	require.NoError(t, restarted.Send("a", testMessage{Index: 2}))
	require.Equal(t, received{member("b", 3), testMessage{Index: 2}}, await(t, a.incoming))
}

// TestDuplicateConnections guards against two hosts that dial each other at the
// same time and each close the connection that the other one keeps.
func TestDuplicateConnections(t *testing.T) {
	a, b := connectedPair(t)
	require.NoError(t, a.Send("b", testMessage{Index: 0}))
	await(t, b.incoming)
	group := conc.NewWaitGroup()
	group.Go(func() { b.dial("a", a.Address()) })
	group.Wait()
	require.Positive(t, a.count("connections.duplicate")+b.count("connections.duplicate"))
	for i := 1; i <= 3; i++ {
		require.NoError(t, a.Send("b", testMessage{Index: i}))
		require.Equal(t, i, await(t, b.incoming).testMessage.Index)
		require.NoError(t, b.Send("a", testMessage{Index: i}))
		require.Equal(t, i, await(t, a.incoming).testMessage.Index)
	}
	require.EqualValues(t, 1, b.count("connections"), "the connection that the host with the lower ID dialed stays")
}

// TestSlowPeerDoesNotBlockSend guards against a Send that blocks on a peer that
// reads nothing.
func TestSlowPeerDoesNotBlockSend(t *testing.T) {
	a, b := connectedPair(t)
	require.NoError(t, a.Send("b", testMessage{}))
	await(t, b.incoming)
	body := make([]byte, 8<<10)
	started := time.Now()
	for i := range 5000 {
		require.NoError(t, a.Send("b", testMessage{Index: i, Body: body}))
	}
	require.Less(t, time.Since(started), testTimeout/2)
	require.Positive(t, a.count("drops.queue"))
}
