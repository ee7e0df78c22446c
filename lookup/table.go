package lookup

import (
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

// Table finds the region of a client. It is immutable and safe for concurrent
// use.
type Table struct {
	prefixes bart.Table[uint16]
	regions  []fleet.Region
}

// NewTable builds the table of a configuration. If a prefix occurs more than
// once, its last entry holds. Invalid prefixes are left out. Blocks that have
// the same region as the block around them are left out too, because they
// change no answer.
func NewTable(blocks []configuration.ClientBlock) *Table {
	t := &Table{}
	numbers := map[fleet.Region]uint16{}
	sorted := make([]numbered, 0, len(blocks))
	for i, block := range blocks {
		if !block.Prefix.IsValid() {
			continue
		}
		number, ok := numbers[block.Region]
		if !ok {
			number = uint16(len(t.regions))
			numbers[block.Region] = number
			t.regions = append(t.regions, block.Region)
		}
		sorted = append(sorted, numbered{prefix: canonical(block.Prefix), region: number, order: i})
	}
	slices.SortFunc(sorted, numbered.compare)
	for i, block := range sorted {
		if i+1 < len(sorted) && sorted[i+1].prefix == block.prefix {
			continue
		}
		if around, ok := t.prefixes.LookupPrefix(block.prefix); ok && around == block.region {
			continue
		}
		t.prefixes.Insert(block.prefix, block.region)
	}
	return t
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

type numbered struct {
	prefix netip.Prefix
	region uint16
	order  int
}

// compare sorts shorter prefixes first, so that a block is inserted after the
// blocks around it.
func (n numbered) compare(m numbered) int {
	if d := n.prefix.Bits() - m.prefix.Bits(); d != 0 {
		return d
	}
	if d := n.prefix.Addr().Compare(m.prefix.Addr()); d != 0 {
		return d
	}
	return n.order - m.order
}

// canonical returns a prefix without host bits, and an IPv4 prefix for an
// IPv4-mapped one.
func canonical(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p.Masked()
}
