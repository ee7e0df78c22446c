package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// MaxDatagramSize is the maximum size of an encrypted message in bytes. It fits
// into an Ethernet frame together with the IP and UDP headers.
const MaxDatagramSize = 1400

// DatagramKeySize is the size in bytes of the key that all hosts share.
const DatagramKeySize = 32

// maxUnlisted bounds the addresses that are kept of hosts that are not listed yet.
const maxUnlisted = 64

// DatagramConfig is the configuration of Datagrams.
type DatagramConfig struct {
	Self   fleet.Member
	Listen netip.AddrPort
	// Types are the message types that may be sent and received.
	Types []machine.MessageType
	// Receive is called for each message of an authenticated peer. It must not block.
	Receive func(from fleet.Member, m machine.Message)
	Metrics metrics.Registry
}

// Datagrams exchanges short messages between hosts that share a key. Each message
// is one UDP datagram, encrypted with AES-256-GCM (NIST SP 800-38D) and bound to
// its receiver; it may be lost or reordered. Copies are dropped for half a minute at
// least. There are no connections, so the cost does not grow with the number of hosts. Datagrams is safe for
// concurrent use.
type Datagrams struct {
	config DatagramConfig
	codec  *Codec
	conn   *net.UDPConn
	aead   atomic.Pointer[cipher.AEAD]
	peers  atomic.Pointer[map[fleet.HostID]netip.AddrPort]

	// unlisted holds the source addresses of authenticated hosts that are not among the
	// peers, so that a host that has just been added gets answers at once.
	unlistedMu sync.Mutex
	unlisted   map[fleet.HostID]netip.AddrPort

	// seen is used by Run only.
	seen replayFilter

	rejected, replayed, oversized, failed metrics.Counter
}

// envelope is the plaintext of a datagram.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	From    fleet.Member
	Message []byte
}

// ListenDatagrams binds the socket. It returns a *ListenError or a
// *MessageError.
func ListenDatagrams(c DatagramConfig) (*Datagrams, error) {
	codec, err := NewCodec(c.Types)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, &ListenError{Address: c.Listen.String(), Cause: err}
	}
	d := &Datagrams{
		config: c, codec: codec, conn: conn,
		rejected:  metrics.NewRegisteredCounter("peer.datagrams.rejected", c.Metrics),
		replayed:  metrics.NewRegisteredCounter("peer.datagrams.replayed", c.Metrics),
		oversized: metrics.NewRegisteredCounter("peer.datagrams.oversized", c.Metrics),
		failed:    metrics.NewRegisteredCounter("peer.datagrams.failed", c.Metrics),
	}
	d.SetPeers(map[fleet.HostID]netip.AddrPort{})
	return d, nil
}

// KeyError reports a key of the wrong size.
type KeyError struct {
	Size int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("the shared key has %d bytes instead of %d", e.Size, DatagramKeySize)
}

// SetKey sets the shared key. Until then nothing is sent or received. It returns
// a *KeyError for a key of the wrong size.
func (d *Datagrams) SetKey(key []byte) error {
	if len(key) != DatagramKeySize {
		return &KeyError{Size: len(key)}
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return err
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return err
	}
	d.aead.Store(&aead)
	return nil
}

// SetPeers replaces the addresses of the other hosts.
func (d *Datagrams) SetPeers(peers map[fleet.HostID]netip.AddrPort) {
	d.peers.Store(&peers)
	d.unlistedMu.Lock()
	d.unlisted = map[fleet.HostID]netip.AddrPort{}
	d.unlistedMu.Unlock()
}

// addressOf returns the address of a host; it is invalid if there is none.
func (d *Datagrams) addressOf(host fleet.HostID) netip.AddrPort {
	if address, ok := (*d.peers.Load())[host]; ok {
		return address
	}
	d.unlistedMu.Lock()
	defer d.unlistedMu.Unlock()
	return d.unlisted[host]
}

// learnAddress keeps the source address of a host that is not among the peers.
func (d *Datagrams) learnAddress(host fleet.HostID, address netip.AddrPort) {
	if _, ok := (*d.peers.Load())[host]; ok {
		return
	}
	d.unlistedMu.Lock()
	defer d.unlistedMu.Unlock()
	if _, known := d.unlisted[host]; known || len(d.unlisted) < maxUnlisted {
		d.unlisted[host] = address
	}
}

// Send sends a message to a host. Without a key, or without an address of the host,
// the message is dropped and not counted. Every other failure is counted.
func (d *Datagrams) Send(to fleet.HostID, m machine.Message) {
	aead, address := d.aead.Load(), d.addressOf(to)
	if aead == nil || !address.IsValid() {
		return
	}
	wire, err := d.codec.Encode(m)
	if err != nil {
		d.failed.Inc(1)
		return
	}
	plaintext, err := cbor.Marshal(envelope{From: d.config.Self, Message: wire})
	if err != nil {
		d.failed.Inc(1)
		return
	}
	nonce := make([]byte, (*aead).NonceSize(), (*aead).NonceSize()+len(plaintext)+(*aead).Overhead())
	_, _ = rand.Read(nonce) // crypto/rand never returns an error; it crashes the process instead
	sealed := (*aead).Seal(nonce, nonce, plaintext, []byte(to))
	if len(sealed) > MaxDatagramSize {
		d.oversized.Inc(1)
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(sealed, address); err != nil {
		d.failed.Inc(1)
	}
}

// Run receives messages until Close. Datagrams that were not encrypted for this
// host are counted and dropped.
func (d *Datagrams) Run() {
	buffer := make([]byte, MaxDatagramSize+1)
	for {
		n, source, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.failed.Inc(1)
			continue
		}
		from, m, err := d.open(buffer[:n])
		if err != nil || from == d.config.Self {
			d.rejected.Inc(1)
			continue
		}
		if !d.seen.isNew(time.Now(), buffer[:n]) {
			d.replayed.Inc(1)
			continue
		}
		d.learnAddress(from.Host, source)
		d.config.Receive(from, m)
	}
}

// errDecrypt reports a datagram that can't be decrypted.
var errDecrypt = &MessageError{Reason: "datagram is not sealed for this host"}

func (d *Datagrams) open(sealed []byte) (fleet.Member, machine.Message, error) {
	aead := d.aead.Load()
	if aead == nil || len(sealed) < (*aead).NonceSize() {
		return fleet.Member{}, nil, errDecrypt
	}
	nonce, ciphertext := sealed[:(*aead).NonceSize()], sealed[(*aead).NonceSize():]
	plaintext, err := (*aead).Open(nil, nonce, ciphertext, []byte(d.config.Self.Host))
	if err != nil {
		return fleet.Member{}, nil, errDecrypt
	}
	var e envelope
	if err := cbor.Unmarshal(plaintext, &e); err != nil {
		return fleet.Member{}, nil, &MessageError{Reason: "decode", Cause: err}
	}
	m, err := d.codec.Decode(e.Message)
	return e.From, m, err
}

// Address returns the bound address.
func (d *Datagrams) Address() netip.AddrPort { return d.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket, which makes Run return.
func (d *Datagrams) Close() error { return d.conn.Close() }
