package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/catkinspring/catkinspring/fleet"
)

// ProtocolVersion is the version of the protocol between hosts. Both sides of a
// connection must use the same version.
const ProtocolVersion = 1

// maxHelloSize is the maximum size in bytes of the first message of a connection.
const maxHelloSize = 1024

// frameHeaderSize is the size in bytes of the length field before each message.
const frameHeaderSize = 4

// hello is the first message that each side of a connection sends.
type hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint16
	Cell        string
	Host        fleet.HostID
	Incarnation fleet.Incarnation
}

// writeFrame writes a message preceded by its length.
func writeFrame(w io.Writer, message []byte) error {
	frame := make([]byte, 0, frameHeaderSize+len(message))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(message)))
	frame = append(frame, message...)
	_, err := w.Write(frame)
	return err
}

// readFrame reads a message of at most limit bytes. It allocates memory for the
// bytes that arrive, not for the length that the header announces.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > uint32(limit) {
		return nil, &MessageError{Reason: "frame too large"}
	}
	message, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(message) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	return message, nil
}

func (t *Transport) sendHello(stream *quic.Stream) error {
	message, err := cbor.Marshal(hello{
		Version:     t.version,
		Cell:        t.config.Cell,
		Host:        t.config.Self.Host,
		Incarnation: t.config.Self.Incarnation,
	})
	if err != nil {
		return &MessageError{Reason: "encode hello", Cause: err}
	}
	return writeFrame(stream, message)
}

// receiveHello reads and checks the first message of a peer whose certificate
// names host.
func (t *Transport) receiveHello(stream *quic.Stream, host fleet.HostID) (fleet.Member, error) {
	wire, err := readFrame(stream, maxHelloSize)
	if err != nil {
		return fleet.Member{}, err
	}
	var h hello
	if err := t.codec.decode.Unmarshal(wire, &h); err != nil {
		return fleet.Member{}, &MessageError{Reason: "decode hello", Cause: err}
	}
	return h.check(host, t.version, t.config.Cell)
}

// check returns the peer, or a *VersionError, *CellError, *UnknownHostError or
// *MessageError.
func (h *hello) check(host fleet.HostID, version uint16, cell string) (fleet.Member, error) {
	switch {
	case h.Version != version:
		return fleet.Member{}, &VersionError{Host: host, Version: h.Version}
	case h.Cell != cell:
		return fleet.Member{}, &CellError{Host: host, Cell: h.Cell}
	case h.Host != host:
		return fleet.Member{}, &UnknownHostError{Host: host, Expected: h.Host}
	case h.Incarnation.IsZero():
		return fleet.Member{}, &MessageError{Reason: "hello without incarnation"}
	}
	return fleet.Member{Host: h.Host, Incarnation: h.Incarnation}, nil
}
