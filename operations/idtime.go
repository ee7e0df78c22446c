package operations

import (
	"time"

	"github.com/google/uuid"
)

// Limits for the timestamps in ids that are UUIDs of version 7.
const (
	// maxAhead is how far the timestamp of an id may be ahead of the owner's clock.
	maxAhead = 2 * time.Second
	// maxSkew is the maximum difference between the wall clocks of two hosts.
	maxSkew = time.Second
	// takeoverMargin is how far the timestamp of an id must be past a takeover so
	// that the earlier owner can't have granted it: its clock may have been maxSkew
	// ahead of the one that timed the takeover, and it accepted maxAhead more.
	takeoverMargin = maxAhead + 2*maxSkew
	// retention is how long claims are kept.
	retention = 24 * time.Hour
	// retentionMargin is added to retention to allow for clock skew between owners.
	retentionMargin = time.Minute
)

// idMillis returns the Unix milliseconds of a UUID version 7; false for other keys.
func idMillis(key string) (int64, bool) {
	if len(key) != 36 {
		return 0, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis, true
}

// isAhead reports whether the timestamp of an id is too far ahead of this clock.
func isAhead(key string, wallMillis int64) bool {
	millis, ok := idMillis(key)
	return ok && millis > wallMillis+maxAhead.Milliseconds()
}

// isTooOld reports whether a claim of the id may already have expired.
func isTooOld(key string, wallMillis int64) bool {
	millis, ok := idMillis(key)
	return ok && millis < wallMillis-retention.Milliseconds()+takeoverMargin.Milliseconds()
}

// isAfterTakeover reports whether no owner can have granted the id before the takeover.
func isAfterTakeover(key string, takeoverMillis int64) bool {
	millis, ok := idMillis(key)
	return ok && millis > takeoverMillis+takeoverMargin.Milliseconds()
}
