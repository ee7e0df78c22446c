package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/catkinspring/catkinspring/fleet"
)

// Guards against delays within a failure domain, and against a link that exceeds
// its bandwidth or shares it between both directions.
func TestTransferDelay(t *testing.T) {
	n := &network{}
	n.set(Network{DomainMillis: 3, RegionMillis: 35, LinkMbit: 8})
	east := fleet.Location{Region: "ostland", FailureDomain: "ostland-a"}
	other := fleet.Location{Region: "ostland", FailureDomain: "ostland-b"}
	north := fleet.Location{Region: "nordland", FailureDomain: "nordland-a"}
	now := time.Unix(0, 0)
	const kilobyte = 1000 // takes 1 ms at 8 Mbit/s
	assert.Zero(t, n.transferDelay(now, east, east, kilobyte))
	assert.Equal(t, 3*time.Millisecond, n.transferDelay(now, east, other, kilobyte))
	assert.Equal(t, 36*time.Millisecond, n.transferDelay(now, east, north, kilobyte))
	assert.Equal(t, 37*time.Millisecond, n.transferDelay(now, east, north, kilobyte), "queued behind the first message")
	assert.Equal(t, 36*time.Millisecond, n.transferDelay(now, north, east, kilobyte))
	assert.Equal(t, 36*time.Millisecond, n.transferDelay(now.Add(time.Second), east, north, kilobyte), "the link is idle again")
}
