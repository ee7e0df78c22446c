package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// The store kinds and names of the configuration.
const (
	StoreKindConfiguration = "configuration"
	StoreKindShard         = "shard"
	headName               = "head"
)

// HeadKey is the store key of the head.
var HeadKey = machine.StoreKey{Kind: StoreKindConfiguration, Name: headName}

const (
	// maxShardSize bounds a shard, in bytes, before the few bytes of its frame.
	maxShardSize = 256 << 10
	// maxShardMessage bounds a shard or a head between peers, in bytes.
	maxShardMessage = 512 << 10
	// maxNotes is the number of accepted notes that the head remembers.
	maxNotes = 256
)

// Digest is the SHA-256 of a shard.
type Digest [sha256.Size]byte

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

func (d Digest) key() machine.StoreKey {
	return machine.StoreKey{Kind: StoreKindShard, Name: d.String()}
}

// AcceptedNote is a release note in the head.
type AcceptedNote struct {
	ID       string         `cbor:"1,keyasint" json:"id"`
	Revision fleet.Revision `cbor:"2,keyasint" json:"revision"`
	// Digest tells a repeated note from another one with the same id.
	Digest uint64 `cbor:"3,keyasint" json:"-"`
}

// Head is the object behind the current revision.
type Head struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	// Shards are in the order of the contents.
	Shards []Digest `cbor:"2,keyasint"`
	// Notes are the last accepted notes, oldest first.
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

// shard is the content of one shard. Exactly one list is set.
type shard struct {
	Routes     []Route       `cbor:"1,keyasint,omitempty"`
	Customers  []Customer    `cbor:"2,keyasint,omitempty"`
	Blocks     []ClientBlock `cbor:"3,keyasint,omitempty"`
	AlertRules []string      `cbor:"4,keyasint,omitempty"`
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

// mustEncode encodes one of this package's own types, which can't fail.
func mustEncode(v any) []byte {
	raw, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Boundary masks: a shard ends after an item whose hash has these bits clear,
// on average after mask+1 items, so shards are about 20 to 30 KiB. A change of
// one item moves no other boundary, so it rewrites one shard, or two.
const (
	routeMask    = 31
	customerMask = 31
	blockMask    = 1023
	ruleMask     = 127
)

// encodeShards returns the shards of a snapshot and their digests in order.
// Equal contents give equal bytes.
func encodeShards(s *Snapshot) ([]Digest, map[Digest][]byte) {
	e := &shardEncoder{shards: map[Digest][]byte{}}
	chunks(s.Routes, routeMask, routeName, routeSize, func(c []Route) { e.add(shard{Routes: c}) })
	chunks(s.Customers, customerMask, customerName, customerSize, func(c []Customer) { e.add(shard{Customers: c}) })
	chunks(s.Blocks, blockMask, blockName, blockSize, func(c []ClientBlock) { e.add(shard{Blocks: c}) })
	chunks(s.AlertRules, ruleMask, ruleName, ruleSize, func(c []string) { e.add(shard{AlertRules: c}) })
	return e.order, e.shards
}

type shardEncoder struct {
	order  []Digest
	shards map[Digest][]byte
}

func (e *shardEncoder) add(s shard) {
	raw := mustEncode(s)
	digest := Digest(sha256.Sum256(raw))
	e.order = append(e.order, digest)
	e.shards[digest] = raw
}

func customerName(c Customer) string { return string(c.ID) }

// The sizes are upper bounds of the encoded items, in bytes.
func routeSize(r Route) int {
	return 160 + len(r.Name) + len(r.PathPrefix) + len(r.Pool) + 66*len(r.Customers)
}
func customerSize(c Customer) int { return 64 + len(c.ID) + 96*len(c.Keys) }
func blockSize(b ClientBlock) int { return 32 + len(b.Region) }
func ruleSize(line string) int    { return 5 + len(line) }

// chunks cuts a list at content-defined boundaries and at maxShardSize.
func chunks[T any](items []T, mask uint64, name func(T) string, size func(T) int, emit func([]T)) {
	start, bytes := 0, 0
	for i, item := range items {
		if bytes+size(item) > maxShardSize {
			emit(items[start:i])
			start, bytes = i, 0
		}
		bytes += size(item)
		if xxhash.Sum64String(name(item))&mask == 0 {
			emit(items[start : i+1])
			start, bytes = i+1, 0
		}
	}
	if start < len(items) {
		emit(items[start:])
	}
}

// decodeSnapshot puts a snapshot together from a head and its shards. It
// returns *ContentError.
func decodeSnapshot(h *Head, shards map[Digest][]byte) (*Snapshot, error) {
	s := &Snapshot{Revision: h.Revision}
	for _, digest := range h.Shards {
		var content shard
		if err := decoding.Unmarshal(shards[digest], &content); err != nil {
			return nil, &ContentError{Object: "shard " + digest.String(), Cause: err}
		}
		s.Routes = append(s.Routes, content.Routes...)
		s.Customers = append(s.Customers, content.Customers...)
		s.Blocks = append(s.Blocks, content.Blocks...)
		s.AlertRules = append(s.AlertRules, content.AlertRules...)
	}
	s.Blocks = slices.Clip(s.Blocks)
	s.Index()
	return s, nil
}

// decodeHead reads a head. It returns *ContentError.
func decodeHead(raw []byte) (*Head, error) {
	var h Head
	if err := decoding.Unmarshal(raw, &h); err != nil {
		return nil, &ContentError{Object: headName, Cause: err}
	}
	return &h, nil
}

// checkShard returns *DigestError if the bytes aren't those of the digest.
func checkShard(digest Digest, raw []byte) error {
	if got := Digest(sha256.Sum256(raw)); got != digest {
		return &DigestError{Want: digest, Got: got}
	}
	return nil
}

// nextHead returns the head that follows another one.
func nextHead(base *Head, shards []Digest, note AcceptedNote) *Head {
	notes := append(slices.Clone(base.Notes), note)
	if len(notes) > maxNotes {
		notes = notes[len(notes)-maxNotes:]
	}
	return &Head{Revision: note.Revision, Shards: shards, Notes: notes}
}

// noteDigest returns a digest of what a note does.
func noteDigest(n *Note) uint64 {
	sum := sha256.Sum256(mustEncode(n))
	// The first eight bytes are enough to catch a mistake; an id is no secret.
	digest := uint64(0)
	for _, b := range sum[:8] {
		digest = digest<<8 | uint64(b)
	}
	return digest & math.MaxInt64
}
