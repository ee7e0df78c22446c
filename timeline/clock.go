package timeline

import "sync"

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// WallMillis is the latest wall-clock time observed, in Unix milliseconds.
	WallMillis int64 `json:"wallMillis" cbor:"1,keyasint"`
	// Logical orders events with the same WallMillis.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 if t is before, equal to or after u.
func (t Timestamp) Compare(u Timestamp) int {
	switch {
	case t.WallMillis < u.WallMillis:
		return -1
	case t.WallMillis > u.WallMillis:
		return 1
	case t.Logical < u.Logical:
		return -1
	case t.Logical > u.Logical:
		return 1
	}
	return 0
}

// MaxAheadMillis bounds how far a remote timestamp may be ahead of the local
// wall clock, so that one host with a wrong clock can't advance the clocks of the
// whole fleet.
const MaxAheadMillis = 60_000

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Next returns the timestamp of a local event at the given wall-clock time.
func (c *Clock) Next(wallMillis int64) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wallMillis > c.last.WallMillis {
		c.last = Timestamp{WallMillis: wallMillis}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe advances the clock to a timestamp received from another process. It
// returns false and changes nothing if the timestamp is more than
// MaxAheadMillis ahead of the wall clock.
func (c *Clock) Observe(remote Timestamp, wallMillis int64) bool {
	if remote.WallMillis > wallMillis+MaxAheadMillis {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return true
}
