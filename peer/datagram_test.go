package peer

import (
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

func (textMessage) MessageNumber() uint16 { return 9999 }

type datagramEndpoint struct {
	*Datagrams
	registry metrics.Registry
	got      chan string
}

func listenDatagrams(t *testing.T, host fleet.HostID, key byte) *datagramEndpoint {
	t.Helper()
	e := &datagramEndpoint{registry: metrics.NewRegistry(), got: make(chan string, 64)}
	d, err := ListenDatagrams(DatagramConfig{
		Self: fleet.Member{Host: host, Incarnation: fleet.Incarnation{1}}, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Types: []machine.MessageType{machine.TypeOf[textMessage]()}, Metrics: e.registry,
		Receive: func(from fleet.Member, m machine.Message) { e.got <- string(from.Host) + ":" + m.(textMessage).Text },
	})
	require.NoError(t, err)
	e.Datagrams = d
	require.NoError(t, d.SetKey(bytes.Repeat([]byte{key}, DatagramKeySize)))
	done := make(chan struct{})
	go func() { defer close(done); d.Run() }()
	t.Cleanup(func() { require.NoError(t, d.Close()); <-done })
	return e
}

func (e *datagramEndpoint) count(name string) int64 {
	return e.registry.Get(name).(metrics.Counter).Count()
}

// Guards against accepting datagrams from a process outside the fleet, or
// datagrams encrypted for another host and redirected to this one.
func TestOnlyDatagramsSealedForThisHostAreAccepted(t *testing.T) {
	a, b, outsider := listenDatagrams(t, "a", 1), listenDatagrams(t, "b", 1), listenDatagrams(t, "s", 2)
	// c has the address of b: b must not accept a datagram encrypted for c.
	a.SetPeers(map[fleet.HostID]netip.AddrPort{"b": b.Address(), "c": b.Address()})
	outsider.SetPeers(map[fleet.HostID]netip.AddrPort{"b": b.Address()})
	outsider.Send("b", textMessage{Text: "wrong key"})
	a.Send("c", textMessage{Text: "for another host"})
	a.Send("b", textMessage{Text: "hello"})
	require.Equal(t, "a:hello", receive(t, b))
	require.Empty(t, b.got)
	require.EqualValues(t, 2, b.count("peer.datagrams.rejected"))
}

// Guards against a host that has just been added and gets no answers until the others
// have its entry.
func TestHostThatIsNotListedYetGetsAnswers(t *testing.T) {
	a, added := listenDatagrams(t, "a", 1), listenDatagrams(t, "added", 1)
	a.Send("added", textMessage{Text: "no address yet"})
	added.SetPeers(map[fleet.HostID]netip.AddrPort{"a": a.Address()})
	added.Send("a", textMessage{Text: "hello"})
	require.Equal(t, "added:hello", receive(t, a))
	a.Send("added", textMessage{Text: "welcome"})
	require.Equal(t, "a:welcome", receive(t, added))
}

func receive(t *testing.T, e *datagramEndpoint) string {
	t.Helper()
	select {
	case got := <-e.got:
		return got
	case <-time.After(5 * time.Second):
		require.Fail(t, "nothing arrived within 5 s")
		return ""
	}
}

// Guards against a message that IP would fragment and lose silently.
func TestOversizedMessageIsCountedAndNotSent(t *testing.T) {
	a := listenDatagrams(t, "a", 1)
	a.SetPeers(map[fleet.HostID]netip.AddrPort{"b": a.Address()})
	a.Send("b", textMessage{Text: string(bytes.Repeat([]byte{'x'}, MaxDatagramSize))})
	require.EqualValues(t, 1, a.count("peer.datagrams.oversized"))
}

func TestKeyOfWrongSizeIsRefused(t *testing.T) {
	var wrong *KeyError
	require.ErrorAs(t, (&Datagrams{}).SetKey([]byte("short")), &wrong)
}

// Guards against a copy of a datagram, from the network or from a process outside the fleet,
// that is taken for a new message: a digest or heartbeat of a host that has ended would let
// it count as alive.
func TestReplayedDatagramsAreDropped(t *testing.T) {
	a, b := listenDatagrams(t, "a", 1), listenDatagrams(t, "b", 1)
	tap, err := net.ListenUDP("udp4", nil)
	require.NoError(t, err)
	defer func() { _ = tap.Close() }()
	a.SetPeers(map[fleet.HostID]netip.AddrPort{"b": tap.LocalAddr().(*net.UDPAddr).AddrPort()})
	a.Send("b", textMessage{Text: "once"})
	buffer := make([]byte, MaxDatagramSize)
	n, err := tap.Read(buffer)
	require.NoError(t, err)
	for range 3 {
		_, err = tap.WriteToUDPAddrPort(buffer[:n], b.Address())
		require.NoError(t, err)
	}
	require.Equal(t, "a:once", receive(t, b))
	require.Eventually(t, func() bool { return b.count("peer.datagrams.replayed") == 2 }, 5*time.Second, time.Millisecond)
	require.Empty(t, b.got)
}

// Guards against a filter that grows without bound, or forgets early.
func TestReplayFilterRemembersForItsPeriod(t *testing.T) {
	var f replayFilter
	now := time.Unix(100, 0)
	nonce := func(i int) []byte { return binary.LittleEndian.AppendUint64(nil, uint64(i)) }
	require.True(t, f.isNew(now, nonce(1)))
	require.False(t, f.isNew(now.Add(replayPeriod), nonce(1)))
	for i := range 5 * maxRemembered {
		f.isNew(now.Add(replayPeriod), nonce(10+i))
		require.LessOrEqual(t, len(f.current)+len(f.previous), 2*maxRemembered)
	}
}
