package gossip

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Entries is a list of entries. Its encoding takes entrySize bytes per entry, so
// that a digest of a region of 100 hosts fits into a datagram.
type Entries []Entry

const (
	// entrySize is the size of an encoded entry in bytes: 4 each for host and
	// incarnation, 1 for the age, 2 for leaving and rate.
	entrySize = 11
	// ageUnit is the unit of encoded ages. The largest age, 12.75 s, is above
	// deadAfter.
	ageUnit = 50 * time.Millisecond
	// leavingBit marks a leaving host in the rate field.
	leavingBit = 1 << 15
)

// EntriesError reports encoded entries whose size is not a multiple of entrySize.
type EntriesError struct {
	Size int
}

func (e *EntriesError) Error() string {
	return fmt.Sprintf("%d bytes are not a number of entries of %d bytes", e.Size, entrySize)
}

// MarshalBinary implements encoding.BinaryMarshaler. Ages are rounded up, because a
// rounded-down age would make a host look more recently seen with each hop. Rates
// are capped at 3,276 per second. It never fails.
func (l Entries) MarshalBinary() ([]byte, error) {
	unit := uint32(ageUnit.Milliseconds())
	out := make([]byte, 0, len(l)*entrySize)
	for _, e := range l {
		out = binary.LittleEndian.AppendUint32(out, e.Host)
		out = binary.LittleEndian.AppendUint32(out, e.Incarnation)
		out = append(out, byte(min((uint64(e.AgeMillis)+uint64(unit)-1)/uint64(unit), math.MaxUint8)))
		rate := uint16(min(e.Rate, leavingBit-1))
		if e.Leaving {
			rate |= leavingBit
		}
		out = binary.LittleEndian.AppendUint16(out, rate)
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It returns an
// *EntriesError.
func (l *Entries) UnmarshalBinary(data []byte) error {
	if len(data)%entrySize != 0 {
		return &EntriesError{Size: len(data)}
	}
	list := make(Entries, 0, len(data)/entrySize)
	for ; len(data) > 0; data = data[entrySize:] {
		rate := binary.LittleEndian.Uint16(data[9:])
		list = append(list, Entry{
			Host:        binary.LittleEndian.Uint32(data),
			Incarnation: binary.LittleEndian.Uint32(data[4:]),
			AgeMillis:   uint32(data[8]) * uint32(ageUnit.Milliseconds()),
			Leaving:     rate&leavingBit != 0,
			Rate:        uint32(rate &^ leavingBit),
		})
	}
	*l = list
	return nil
}
