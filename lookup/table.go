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

// maxRegions is the maximum number of regions in a table, because each prefix
// holds the index of its region in two bytes.
const maxRegions = 1 << 16

// maxPrefixBits is the length of the longest prefix in bits.
const maxPrefixBits = 128

// Table maps client addresses to regions. It is immutable and safe for
// concurrent use.
type Table struct {
	prefixes bart.Table[uint16]
	regions  []fleet.Region
}

// NewTable builds the table of a configuration. If a prefix occurs more than
// once, its last entry applies. Invalid prefixes are left out, as are blocks of
// regions after the first 65,536. Blocks with the same region as the block that
// encloses them are redundant and left out too.
func NewTable(blocks []configuration.ClientBlock) *Table {
	t := &Table{}
	indexes := map[fleet.Region]uint16{}
	for _, i := range byLength(blocks) {
		block := &blocks[i]
		index, ok := indexes[block.Region]
		if !ok {
			if len(t.regions) == maxRegions {
				continue
			}
			index = uint16(len(t.regions))
			indexes[block.Region] = index
			t.regions = append(t.regions, block.Region)
		}
		prefix := canonical(block.Prefix)
		if enclosing, ok := t.prefixes.LookupPrefix(prefix); ok && enclosing == index {
			continue
		}
		t.prefixes.Insert(prefix, index)
	}
	return t
}

// byLength returns the indexes of the valid blocks, shorter prefixes first and
// otherwise in their order, so that a block comes after the blocks that enclose
// it. A counting sort of indexes needs a tenth of the memory of a sorted copy.
func byLength(blocks []configuration.ClientBlock) []uint32 {
	var starts [maxPrefixBits + 2]uint32
	for i := range blocks {
		if blocks[i].Prefix.IsValid() {
			starts[canonical(blocks[i].Prefix).Bits()+1]++
		}
	}
	for bits := range maxPrefixBits + 1 {
		starts[bits+1] += starts[bits]
	}
	sorted := make([]uint32, starts[maxPrefixBits+1])
	for i := range blocks {
		if blocks[i].Prefix.IsValid() {
			bits := canonical(blocks[i].Prefix).Bits()
			sorted[starts[bits]] = uint32(i)
			starts[bits]++
		}
	}
	return sorted
}

// Region returns the region of the longest prefix that contains an address.
func (t *Table) Region(client netip.Addr) (fleet.Region, bool) {
	if t == nil {
		return "", false
	}
	index, ok := t.prefixes.Lookup(client.Unmap())
	if !ok {
		return "", false
	}
	return t.regions[index], true
}

// Size returns the number of prefixes in the table.
func (t *Table) Size() int { return t.prefixes.Size() }

// canonical returns a prefix without host bits, converted to IPv4 if it is an
// IPv4-mapped one.
func canonical(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p.Masked()
}

// Cache holds the table of the current configuration. It avoids rebuilds because
// most configuration changes do not affect the client blocks, and building a
// table of 1.6 million blocks takes more than a second.
type Cache struct {
	table atomic.Pointer[Table]
	// hash is the hash of the table's blocks; only Update uses it.
	hash uint64
}

// Table returns the current table; nil before the first Update.
func (c *Cache) Table() *Table { return c.table.Load() }

// Update builds the table of new blocks if they differ. It must not be called
// concurrently, nor on a latency-sensitive goroutine. It reports whether it
// built a table.
func (c *Cache) Update(blocks []configuration.ClientBlock) bool {
	hash := hashBlocks(blocks)
	if c.table.Load() != nil && hash == c.hash {
		return false
	}
	c.table.Store(NewTable(blocks))
	c.hash = hash
	return true
}

func hashBlocks(blocks []configuration.ClientBlock) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var header [19]byte
	for i := range blocks {
		address := blocks[i].Prefix.Addr().As16()
		copy(header[:], address[:])
		header[16] = byte(blocks[i].Prefix.Bits())
		binary.LittleEndian.PutUint16(header[17:], uint16(len(blocks[i].Region)))
		_, _ = digest.Write(header[:])
		_, _ = digest.WriteString(string(blocks[i].Region))
	}
	return digest.Sum64()
}
