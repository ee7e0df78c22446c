package catalog

// Position is a state of the store: an era and a revision in it. The store begins a new era
// when it comes back from an older copy; it then gives out revisions again that it had given
// to other changes. Positions are ordered, and a later state has a higher one.
type Position uint64

// revisionBits is the number of bits of a Position that hold the revision.
const revisionBits = 48

// MaxEra is the highest era that a Position can hold.
const MaxEra = 1<<(64-revisionBits) - 1

// PositionOf returns the position of a revision in an era, which is at most MaxEra. A store
// without eras has era 0.
func PositionOf(era, revision uint64) Position {
	return Position(min(era, MaxEra)<<revisionBits | min(revision, 1<<revisionBits-1))
}

// Era returns the era.
func (p Position) Era() uint64 { return uint64(p >> revisionBits) }

// Revision returns the revision in its era.
func (p Position) Revision() uint64 { return uint64(p & (1<<revisionBits - 1)) }
