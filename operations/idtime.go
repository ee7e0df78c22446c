package operations

import (
	"time"

	"github.com/google/uuid"
)

// Rules for the time in ids of UUID version 7.
const (
	// maxAhead is how far the time of an id may be ahead of the owner's clock.
	maxAhead = 2 * time.Second
	// maxSkew bounds the difference between the wall clocks of two hosts.
	maxSkew = time.Second
	// takeoverMargin separates ids that an earlier owner can't have granted from
	// the time of the takeover: that owner's clock may have been maxSkew ahead of
	// the one that stamped the takeover, and it allowed maxAhead more.
	takeoverMargin = maxAhead + 2*maxSkew
	// retention is how long claims are kept.
	retention = 24 * time.Hour
	// retentionMargin is kept on top, for the skew between owners.
	retentionMargin = time.Minute
)

// idMillis returns the time in an id of UUID version 7, Unix milliseconds.
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

// isAhead reports whether an id comes from the future of this clock.
func isAhead(key string, wallMillis int64) bool {
	millis, ok := idMillis(key)
	return ok && millis > wallMillis+maxAhead.Milliseconds()
}

// isTooOld reports whether a claim of the id may have been forgotten already.
func isTooOld(key string, wallMillis int64) bool {
	millis, ok := idMillis(key)
	return ok && millis < wallMillis-retention.Milliseconds()+takeoverMargin.Milliseconds()
}

// isAfter reports whether no owner can have granted the id before an instant.
func isAfter(key string, takeoverMillis int64) bool {
	millis, ok := idMillis(key)
	return ok && millis > takeoverMillis+takeoverMargin.Milliseconds()
}
