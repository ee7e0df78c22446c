package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Kinds and names of the configuration's store objects.
const (
	StoreKindConfiguration = "configuration"
	StoreKindShard         = "shard"
	headName               = "head"
)

// HeadKey is the store key of the head.
var HeadKey = machine.StoreKey{Kind: StoreKindConfiguration, Name: headName}

const (
	// maxShardBytes bounds the content of a shard, without a few bytes of framing.
	maxShardBytes = 256 << 10
	// maxMessageBytes bounds a shard or a head sent between peers.
	maxMessageBytes = 512 << 10
	// maxHeadNotes is the number of accepted notes that the head remembers.
	maxHeadNotes = 256
)

// Digest is the SHA-256 of a shard.
type Digest [sha256.Size]byte

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

func (d Digest) key() machine.StoreKey {
	return machine.StoreKey{Kind: StoreKindShard, Name: d.String()}
}

// AcceptedNote is the record of an accepted release note in the head.
type AcceptedNote struct {
	ID       string         `cbor:"1,keyasint" json:"id"`
	Revision fleet.Revision `cbor:"2,keyasint" json:"revision"`
	// Digest distinguishes a repeated note from a different one with the same id.
	Digest uint64 `cbor:"3,keyasint" json:"-"`
}

// Head is the store object that defines the current revision.
type Head struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	// Shards lists the shards in the order of their content.
	Shards []Digest `cbor:"2,keyasint"`
	// Notes lists the most recently accepted notes, oldest first.
	Notes []AcceptedNote `cbor:"3,keyasint"`
}

// note returns the accepted note with an id, or nil.
func (h *Head) note(id string) *AcceptedNote {
	for i := range h.Notes {
		if h.Notes[i].ID == id {
			return &h.Notes[i]
		}
	}
	return nil
}

// notesAfter returns the notes that were accepted after a revision.
func (h *Head) notesAfter(revision fleet.Revision) []AcceptedNote {
	var notes []AcceptedNote
	for _, n := range h.Notes {
		if n.Revision > revision {
			notes = append(notes, n)
		}
	}
	return notes
}

// shard is the decoded content of one shard. Exactly one list is set. The encoded
// form is not kept in memory; it is encoded again when a peer or the store needs it.
type shard struct {
	Routes     []Route       `cbor:"1,keyasint,omitempty"`
	Customers  []Customer    `cbor:"2,keyasint,omitempty"`
	Blocks     []ClientBlock `cbor:"3,keyasint,omitempty"`
	AlertRules []string      `cbor:"4,keyasint,omitempty"`

	// raw is set if the content does not encode to the bytes it was decoded from,
	// because another version of the program wrote them.
	raw []byte
}

// encode returns the encoded shard.
func (s *shard) encode() []byte {
	if s.raw != nil {
		return s.raw
	}
	return mustEncode(s)
}

// decodeShard verifies the digest of an encoded shard and decodes it. It returns
// *DigestError or *ContentError.
func decodeShard(digest Digest, raw []byte) (shard, error) {
	if got := Digest(sha256.Sum256(raw)); got != digest {
		return shard{}, &DigestError{Want: digest, Got: got}
	}
	var s shard
	if err := decoding.Unmarshal(raw, &s); err != nil {
		return shard{}, &ContentError{Object: "shard " + digest.String(), Cause: err}
	}
	if !bytes.Equal(mustEncode(&s), raw) {
		s.raw = raw
	}
	return s, nil
}

var (
	encoding = mustEncMode()
	decoding = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustEncode encodes one of this package's own types, which cannot fail.
func mustEncode(v any) []byte {
	raw, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Masks for content-defined chunking: a shard ends after an item whose hash has
// these bits clear, on average after mask+1 items, so shards are about 20 to 30
// KiB. Changing one item moves no other boundary, so it rewrites one or two shards.
const (
	routeMask    = 31
	customerMask = 31
	blockMask    = 1023
	ruleMask     = 127
)

// shards maps digests to decoded shards.
type shards map[Digest]shard

// cutShards splits a snapshot into shards and returns their digests in order. Equal
// contents have equal digests. The shards share memory with the snapshot. Client
// blocks that form a shard of base are neither encoded nor hashed again.
func cutShards(s *Snapshot, base shards) ([]Digest, shards) {
	c := &shardCutter{shards: shards{}, known: map[netip.Prefix]Digest{}, base: base}
	for digest, part := range base {
		if len(part.Blocks) > 0 && part.raw == nil {
			c.known[part.Blocks[0].Prefix] = digest
		}
	}
	chunks(s.Routes, routeMask, routeHash, routeSize, func(part []Route) { c.add(shard{Routes: part}) })
	chunks(s.Customers, customerMask, customerHash, customerSize, func(part []Customer) { c.add(shard{Customers: part}) })
	chunks(s.Blocks, blockMask, blockHash, blockSize, func(part []ClientBlock) { c.add(shard{Blocks: part}) })
	chunks(s.AlertRules, ruleMask, xxhash.Sum64String, ruleSize, func(part []string) { c.add(shard{AlertRules: part}) })
	return c.order, c.shards
}

// shardCutter collects the shards of a snapshot.
type shardCutter struct {
	order  []Digest
	shards shards
	// known maps the first client block of each shard in base to its digest.
	known map[netip.Prefix]Digest
	base  shards
}

func (c *shardCutter) add(s shard) {
	digest := c.digest(&s)
	c.order = append(c.order, digest)
	c.shards[digest] = s
}

func (c *shardCutter) digest(s *shard) Digest {
	if len(s.Blocks) > 0 {
		digest, known := c.known[s.Blocks[0].Prefix]
		if known && slices.Equal(c.base[digest].Blocks, s.Blocks) {
			return digest
		}
	}
	return Digest(sha256.Sum256(s.encode()))
}

func routeHash(r Route) uint64       { return xxhash.Sum64String(string(r.Name)) }
func customerHash(c Customer) uint64 { return xxhash.Sum64String(string(c.ID)) }

func blockHash(b ClientBlock) uint64 {
	address := b.Prefix.Addr().As16()
	var name [17]byte
	copy(name[:], address[:])
	name[16] = byte(b.Prefix.Bits())
	return xxhash.Sum64(name[:])
}

// These functions return upper bounds of the encoded size of an item, in bytes.
func routeSize(r Route) int {
	return 160 + len(r.Name) + len(r.PathPrefix) + len(r.Pool) + 66*len(r.Customers)
}
func customerSize(c Customer) int { return 64 + len(c.ID) + 96*len(c.Keys) }
func blockSize(b ClientBlock) int { return 32 + len(b.Region) }
func ruleSize(line string) int    { return 5 + len(line) }

// chunks splits a list at content-defined boundaries and at maxShardBytes.
func chunks[T any](items []T, mask uint64, hash func(T) uint64, size func(T) int, emit func([]T)) {
	start, bytes := 0, 0
	for i, item := range items {
		if bytes+size(item) > maxShardBytes {
			emit(items[start:i])
			start, bytes = i, 0
		}
		bytes += size(item)
		if hash(item)&mask == 0 {
			emit(items[start : i+1])
			start, bytes = i+1, 0
		}
	}
	if start < len(items) {
		emit(items[start:])
	}
}

// joinShards assembles the snapshot of a head from its shards. The returned shards
// share the client blocks with the new snapshot, so that the blocks of older
// snapshots can be freed.
func joinShards(h *Head, from shards) (*Snapshot, shards) {
	s := &Snapshot{Revision: h.Revision}
	blocks := 0
	for _, digest := range h.Shards {
		blocks += len(from[digest].Blocks)
	}
	s.Blocks = make([]ClientBlock, 0, blocks)
	joined := make(shards, len(h.Shards))
	for _, digest := range h.Shards {
		part := from[digest]
		s.Routes = append(s.Routes, part.Routes...)
		s.Customers = append(s.Customers, part.Customers...)
		s.AlertRules = append(s.AlertRules, part.AlertRules...)
		start := len(s.Blocks)
		s.Blocks = append(s.Blocks, part.Blocks...)
		if len(part.Blocks) > 0 {
			part.Blocks = s.Blocks[start:len(s.Blocks):len(s.Blocks)]
		}
		joined[digest] = part
	}
	s.Index()
	return s, joined
}

// decodeHead decodes a head. It returns *ContentError.
func decodeHead(raw []byte) (*Head, error) {
	var h Head
	if err := decoding.Unmarshal(raw, &h); err != nil {
		return nil, &ContentError{Object: headName, Cause: err}
	}
	return &h, nil
}

// nextHead returns the successor of a head after a note was accepted.
func nextHead(base *Head, shards []Digest, note AcceptedNote) *Head {
	notes := append(slices.Clone(base.Notes), note)
	if len(notes) > maxHeadNotes {
		notes = notes[len(notes)-maxHeadNotes:]
	}
	return &Head{Revision: note.Revision, Shards: shards, Notes: notes}
}

// noteDigest returns a digest of a note's content, without its comment.
func noteDigest(n *Note) uint64 {
	sum := sha256.Sum256(mustEncode(n))
	// Eight bytes suffice: this detects accidental reuse of an id, not attacks.
	digest := uint64(0)
	for _, b := range sum[:8] {
		digest = digest<<8 | uint64(b)
	}
	return digest & math.MaxInt64
}
