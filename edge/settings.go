package edge

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Settings are the settings of one process.
type Settings struct {
	ID       fleet.HostID
	Location fleet.Location
	Listen   Listen
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryMegabyte is the memory that the process may use.
	MemoryMegabyte int
	// Descriptors is the number of files and sockets that the process may open.
	Descriptors int
	// Domains gives the region of each failure domain.
	Domains map[fleet.FailureDomain]fleet.Region
	Bounds  Bounds
	// FirstStart is true when the whole fleet starts for the first time: there is no
	// traffic yet.
	FirstStart bool
}

// Listen holds the addresses of a process.
type Listen struct {
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Directory netip.AddrPort
	Peers     netip.AddrPort
	Metrics   netip.AddrPort
}

// Bounds are the time bounds and ratios that the users set.
type Bounds struct {
	// StopGrace is the time between the request to stop and the kill.
	StopGrace time.Duration
	// RetryRatio, RetryMinimum and RetryWindow bound second attempts; see
	// steering.BudgetConfig.
	RetryRatio   float64
	RetryMinimum float64
	RetryWindow  time.Duration
	// MaxAnswerAge is how long callers may keep an answer to a look-up.
	MaxAnswerAge time.Duration
	// MaxRegionShift and ColdSlack are explained in steering.Config.
	MaxRegionShift float64
	ColdSlack      float64
}
