package edge

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Settings configures one process. The names of its fields, and of the fields of
// the types in it, appear in a log line (reportSettingsChange in
// cmd/catkinspring) and must not be renamed.
type Settings struct {
	ID       fleet.HostID
	Location fleet.Location
	Listen   Listen
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryMegabyte is the memory limit of the process.
	MemoryMegabyte int
	// Descriptors is the maximum number of open files and sockets of the process.
	Descriptors int
	// Domains maps each failure domain to its region.
	Domains map[fleet.FailureDomain]fleet.Region
	Bounds  Bounds
	// EntryLapse is documented at steering.Config.
	EntryLapse time.Duration
	// FirstStart is true when the whole fleet starts for the first time and there is
	// no traffic yet.
	FirstStart bool
	// Pressure is documented at steering.Config.
	Pressure bool
}

// memoryBytes returns the memory limit of the process in bytes.
func (s Settings) memoryBytes() int64 { return int64(s.MemoryMegabyte) << 20 }

// Listen holds the addresses on which a process listens.
type Listen struct {
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Directory netip.AddrPort
	Peers     netip.AddrPort
	Metrics   netip.AddrPort
}

// Bounds are the timeouts and ratios that the users set.
type Bounds struct {
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// RetryRatio, RetryMinimum and RetryWindow configure the retry budget; see
	// steering.RetryBudgetConfig.
	RetryRatio   float64
	RetryMinimum float64
	RetryWindow  time.Duration
	// MaxAnswerAge is how long callers may cache the response to a lookup.
	MaxAnswerAge time.Duration
	// MaxRegionShift, ColdTolerance and ColdSlack are documented at steering.Config.
	MaxRegionShift float64
	ColdTolerance  float64
	ColdSlack      float64
}
