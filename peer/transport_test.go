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

type note struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Body  []byte
}

func (note) MessageNumber() uint16 { return 900 }

var noteTypes = []machine.MessageType{machine.TypeOf[note]()}

type received struct {
	from fleet.Member
	note note
}

// endpoint is a transport under test.
type endpoint struct {
	*Transport
	in       chan received
	failures chan error
	registry metrics.Registry
}

func (e *endpoint) count(name string) int64 {
	return metrics.GetOrRegisterCounter("peer."+name, e.registry).Count()
}

func member(host fleet.HostID, incarnation byte) fleet.Member {
	return fleet.Member{Host: host, Incarnation: fleet.Incarnation{incarnation}}
}

func newDirectory(t *testing.T) (string, *Authority) {
	t.Helper()
	directory := t.TempDir()
	authority, err := NewAuthority("test", time.Now(), time.Hour)
	require.NoError(t, err)
	require.NoError(t, authority.Write(directory))
	return directory, authority
}

func issue(t *testing.T, a *Authority, directory string, host fleet.HostID) Files {
	t.Helper()
	files, err := a.IssueHost(host, directory, time.Now(), time.Hour)
	require.NoError(t, err)
	return files
}

func start(t *testing.T, files Files, self fleet.Member, version uint16) *endpoint {
	t.Helper()
	ended := make(chan struct{})
	e := &endpoint{in: make(chan received, 1000), failures: make(chan error, 100), registry: metrics.NewRegistry()}
	transport, err := listen(Config{
		Self:    self,
		Cell:    "a",
		Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
		Files:   files,
		Types:   noteTypes,
		Metrics: e.registry,
		Receive: func(from fleet.Member, m machine.Message) {
			select {
			case e.in <- received{from, m.(note)}:
			case <-ended:
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
		// Messages that no test reads must not keep Close waiting for Receive.
		close(ended)
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

func pair(t *testing.T) (a, b *endpoint) {
	t.Helper()
	directory, authority := newDirectory(t)
	a = start(t, issue(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	b = start(t, issue(t, authority, directory, "b"), member("b", 2), ProtocolVersion)
	connect(a, b)
	return a, b
}

// TestExchange guards the order and origin of small messages, and the largest
// message that configuration needs, in both directions.
func TestExchange(t *testing.T) {
	a, b := pair(t)
	for i := range 100 {
		require.NoError(t, a.Send("b", note{Index: i}))
		require.NoError(t, b.Send("a", note{Index: i}))
	}
	for i := range 100 {
		require.Equal(t, received{member("a", 1), note{Index: i}}, await(t, b.in))
		require.Equal(t, received{member("b", 2), note{Index: i}}, await(t, a.in))
	}
	shard := bytes.Repeat([]byte{7}, 1<<20)
	require.NoError(t, a.Send("b", note{Index: 1, Body: shard}))
	require.Equal(t, shard, await(t, b.in).note.Body)
	require.Greater(t, a.count("bytes.out"), int64(1<<20))
	require.Zero(t, a.count("drops.queue"))
	require.Error(t, a.Send("b", note{Body: make([]byte, MaxMessageSize)}))
}

// TestUnknownCertificate guards against a process without a certificate of the
// fleet reading or sending anything.
func TestUnknownCertificate(t *testing.T) {
	directory, authority := newDirectory(t)
	a := start(t, issue(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	otherDirectory, other := newDirectory(t)
	b := start(t, issue(t, other, otherDirectory, "b"), member("b", 2), ProtocolVersion)
	connect(a, b)
	require.NoError(t, a.Send("b", note{}))
	require.NoError(t, b.Send("a", note{}))
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
	require.Empty(t, a.in)
	require.Empty(t, b.in)
	require.Zero(t, a.count("messages.in")+b.count("messages.in"))
}

// TestWrongPeer guards against a host that answers at the address of another
// one, a wrong cell and a wrong version going unnoticed.
func TestWrongPeer(t *testing.T) {
	directory, authority := newDirectory(t)
	a := start(t, issue(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	b := start(t, issue(t, authority, directory, "b"), member("b", 2), ProtocolVersion+1)
	a.SetPeers(map[fleet.HostID]netip.AddrPort{"c": b.Address()})
	var unknown *UnknownHostError
	require.ErrorAs(t, await(t, a.failures), &unknown)
	require.Equal(t, UnknownHostError{Host: "b", Expected: "c"}, *unknown)
	b.SetPeers(map[fleet.HostID]netip.AddrPort{"a": a.Address()})
	for {
		var version *VersionError
		if err := await(t, b.failures); !assertAs(err, &version) {
			continue
		}
		require.Equal(t, VersionError{Host: "a", Version: ProtocolVersion}, *version)
		break
	}
	var cell *CellError
	_, err := (&hello{Version: 1, Cell: "b", Host: "a", Incarnation: fleet.Incarnation{1}}).check("a", 1, "a")
	require.ErrorAs(t, err, &cell)
	require.ErrorAs(t, a.Send("nobody", note{}), &unknown)
}

// TestRotation guards against a new CA or certificate that needs a restart.
func TestRotation(t *testing.T) {
	directory, authority := newDirectory(t)
	files := issue(t, authority, directory, "a")
	store, err := newIdentityStore(files, "a")
	require.NoError(t, err)
	next, err := NewAuthority("next", time.Now(), time.Hour)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.CA, append(authority.PEM(), next.PEM()...), 0o600))
	issue(t, next, directory, "a")
	before := store.get().certificate.Certificate[0]
	store.read = time.Time{}
	require.NotEqual(t, before, store.get().certificate.Certificate[0])
	require.NoError(t, os.Remove(files.Key))
	store.read = time.Time{}
	require.NotNil(t, store.get(), "an unreadable file must not end the service")
	_, err = newIdentityStore(issue(t, authority, directory, "b"), "a")
	var unknown *UnknownHostError
	require.ErrorAs(t, err, &unknown)
	loaded, err := LoadAuthority(directory)
	require.NoError(t, err)
	_, err = newIdentityStore(issue(t, loaded, directory, "c"), "c")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.CA, next.PEM(), 0o600))
	_, err = LoadAuthority(directory)
	require.Error(t, err, "a key of another CA must not sign for this one")
}

// TestReconnect guards against a peer that is lost for good after a restart,
// and against messages delivered under the old incarnation.
func TestReconnect(t *testing.T) {
	directory, authority := newDirectory(t)
	a := start(t, issue(t, authority, directory, "a"), member("a", 1), ProtocolVersion)
	files := issue(t, authority, directory, "b")
	b := start(t, files, member("b", 2), ProtocolVersion)
	connect(a, b)
	require.NoError(t, a.Send("b", note{Index: 1}))
	await(t, b.in)
	require.NoError(t, b.Close())
	again := start(t, files, member("b", 3), ProtocolVersion)
	connect(a, again)
	require.NoError(t, again.Send("a", note{Index: 2}))
	require.Equal(t, received{member("b", 3), note{Index: 2}}, await(t, a.in))
}

// TestDuplicateConnections guards against two hosts that dial each other at the
// same time and each close the connection that the other one keeps.
func TestDuplicateConnections(t *testing.T) {
	a, b := pair(t)
	require.NoError(t, a.Send("b", note{Index: 0}))
	await(t, b.in)
	group := conc.NewWaitGroup()
	group.Go(func() { b.dial("a", a.Address()) })
	group.Wait()
	require.Positive(t, a.count("connections.duplicate")+b.count("connections.duplicate"))
	for i := 1; i <= 3; i++ {
		require.NoError(t, a.Send("b", note{Index: i}))
		require.Equal(t, i, await(t, b.in).note.Index)
		require.NoError(t, b.Send("a", note{Index: i}))
		require.Equal(t, i, await(t, a.in).note.Index)
	}
	require.EqualValues(t, 1, b.count("connections"), "the connection of the lower id stays")
}

// TestSlowPeer guards against a caller that waits for a peer which reads nothing.
func TestSlowPeer(t *testing.T) {
	a, b := pair(t)
	require.NoError(t, a.Send("b", note{}))
	await(t, b.in)
	body := make([]byte, 8<<10)
	started := time.Now()
	for i := range 5000 {
		require.NoError(t, a.Send("b", note{Index: i, Body: body}))
	}
	require.Less(t, time.Since(started), testTimeout/2)
	require.Positive(t, a.count("drops.queue"))
}
