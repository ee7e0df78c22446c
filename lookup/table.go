package lookup

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

// maxRegions bounds the regions of a table, because each prefix holds the
// number of its region in two bytes.
const maxRegions = 1 << 16

// maxBits is the length of the longest prefix.
const maxBits = 128

// Table finds the region of a client. It is immutable and safe for concurrent
// use.
type Table struct {
	prefixes bart.Table[uint16]
	regions  []fleet.Region
}

// NewTable builds the table of a configuration. If a prefix occurs more than
// once, its last entry holds. Invalid prefixes are left out, and blocks of
// further regions after the first 65,536. Blocks that have the same region as
// the block around them are left out too, because they change no answer.
func NewTable(blocks []configuration.ClientBlock) *Table {
	t := &Table{}
	numbers := map[fleet.Region]uint16{}
	for _, i := range byLength(blocks) {
		block := &blocks[i]
		number, ok := numbers[block.Region]
		if !ok {
			if len(t.regions) == maxRegions {
				continue
			}
			number = uint16(len(t.regions))
			numbers[block.Region] = number
			t.regions = append(t.regions, block.Region)
		}
		prefix := canonical(block.Prefix)
		if around, ok := t.prefixes.LookupPrefix(prefix); ok && around == number {
			continue
		}
		t.prefixes.Insert(prefix, number)
	}
	return t
}

// byLength returns the indexes of the valid blocks, shorter prefixes first and
// otherwise in their order, so that a block comes after the blocks around it. A
// counting sort of indexes needs a tenth of the memory of a sorted copy.
func byLength(blocks []configuration.ClientBlock) []uint32 {
	var starts [maxBits + 2]uint32
	for i := range blocks {
		if blocks[i].Prefix.IsValid() {
			starts[canonical(blocks[i].Prefix).Bits()+1]++
		}
	}
	for bits := range maxBits + 1 {
		starts[bits+1] += starts[bits]
	}
	sorted := make([]uint32, starts[maxBits+1])
	for i := range blocks {
		if blocks[i].Prefix.IsValid() {
			bits := canonical(blocks[i].Prefix).Bits()
			sorted[starts[bits]] = uint32(i)
			starts[bits]++
		}
	}
	return sorted
}

// Region returns the region of the longest block that holds an address.
func (t *Table) Region(client netip.Addr) (fleet.Region, bool) {
	if t == nil {
		return "", false
	}
	number, ok := t.prefixes.Lookup(client.Unmap())
	if !ok {
		return "", false
	}
	return t.regions[number], true
}

// Size returns the number of prefixes that are held.
func (t *Table) Size() int { return t.prefixes.Size() }

// canonical returns a prefix without host bits, and an IPv4 prefix for an
// IPv4-mapped one.
func canonical(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p.Masked()
}

// Cache holds the table of the configuration in force. Most configuration
// changes leave the client blocks alone, and building 1.6 million of them takes
// more than a second.
type Cache struct {
	table atomic.Pointer[Table]
	// hash is that of the blocks behind the table; only Update uses it.
	hash uint64
}

// Table returns the current table; nil before the first Update.
func (c *Cache) Table() *Table { return c.table.Load() }

// Update builds the table of new blocks if they differ. It must not be called
// concurrently, and not on a goroutine that must answer soon. It reports whether
// it built a table.
func (c *Cache) Update(blocks []configuration.ClientBlock) bool {
	hash := hashOf(blocks)
	if c.table.Load() != nil && hash == c.hash {
		return false
	}
	c.table.Store(NewTable(blocks))
	c.hash = hash
	return true
}

func hashOf(blocks []configuration.ClientBlock) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var fixed [19]byte
	for i := range blocks {
		address := blocks[i].Prefix.Addr().As16()
		copy(fixed[:], address[:])
		fixed[16] = byte(blocks[i].Prefix.Bits())
		binary.LittleEndian.PutUint16(fixed[17:], uint16(len(blocks[i].Region)))
		_, _ = digest.Write(fixed[:])
		_, _ = digest.WriteString(string(blocks[i].Region))
	}
	return digest.Sum64()
}
