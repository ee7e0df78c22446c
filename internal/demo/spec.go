package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

// Spec describes a fleet.
type Spec struct {
	Regions []fleet.Region
	// Domains is the number of failure domains of each region.
	Domains        int
	HostsPerDomain int
	Lease          time.Duration
	MaxAge         time.Duration
	DrainTimeout   time.Duration
	// HostLag is the lag of the platform's host list.
	HostLag   time.Duration
	RegionMS  float64
	Pools     []PoolSpec
	Customers []CustomerSpec
	Routes    []configuration.Route
	// Blocks holds the client block of each region.
	Blocks []configuration.ClientBlock
}

// PoolSpec describes the upstreams of a pool, which are spread evenly over the
// failure domains.
type PoolSpec struct {
	Name          fleet.Pool
	Upstreams     int
	Slots         int
	ServiceMillis float64
	ServiceSigma  float64
	ColdFactor    float64
	ColdMillis    float64
	ProbeMillis   float64
}

// CustomerSpec describes a customer. Its keys are made when the fleet starts.
type CustomerSpec struct {
	ID     fleet.Customer
	Rate   float64
	Burst  float64
	Weight int
	Keys   int
}

func (s *Spec) domain(region fleet.Region, i int) fleet.FailureDomain {
	return fleet.FailureDomain(fmt.Sprintf("%s-%c", region, 'a'+i))
}

// Names of the cooperative's pools and routes.
const (
	poolKatalog     = "katalog-ordre"
	poolKalibrering = "kalibrering"
	routeKatalog    = "katalog"
	routeSertifikat = "sertifikat"
	routeOrdre      = "ordre"
	routeKalib      = "rekalibrering"
)

// Cooperative returns the fleet of the cooperative in docs/design.md, section 1.
// Look-up answers live 2 s instead of 5 s, so that a planned stop fits in a demo.
func Cooperative() Spec {
	return Spec{
		Regions:        []fleet.Region{"ostland", "vestland", "nordland"},
		Domains:        2,
		HostsPerDomain: 2,
		Lease:          10 * time.Second,
		MaxAge:         2 * time.Second,
		DrainTimeout:   20 * time.Second,
		HostLag:        time.Second,
		RegionMS:       35,
		Pools: []PoolSpec{
			{Name: poolKatalog, Upstreams: 34, Slots: 3, ServiceMillis: 8, ServiceSigma: 0.4, ColdFactor: 2, ColdMillis: 2000, ProbeMillis: 6},
			{Name: poolKalibrering, Upstreams: 12, Slots: 3, ServiceMillis: 15, ServiceSigma: 0.4, ColdFactor: 2, ColdMillis: 2000, ProbeMillis: 6},
		},
		Customers: []CustomerSpec{
			{ID: "feltlag-nord", Rate: 60, Burst: 60, Weight: 4, Keys: 1},
			{ID: "feltlag-sor", Rate: 50, Burst: 50, Weight: 4, Keys: 1},
			{ID: "jordlab-vest", Rate: 40, Burst: 40, Weight: 3, Keys: 1},
			{ID: "kommune-alta", Rate: 12, Burst: 24, Weight: 1, Keys: 1},
			{ID: "kommune-bodo", Rate: 20, Burst: 24, Weight: 1, Keys: 2},
			{ID: "verksted-lom", Rate: 12, Burst: 24, Weight: 1, Keys: 1},
			{ID: "verksted-oslo", Rate: 12, Burst: 24, Weight: 1, Keys: 1},
			{ID: "skole-as", Rate: 6, Burst: 12, Weight: 1, Keys: 1},
		},
		Routes: routes(),
		Blocks: []configuration.ClientBlock{
			{Prefix: netip.MustParsePrefix("192.0.2.0/26"), Region: "ostland"},
			{Prefix: netip.MustParsePrefix("192.0.2.64/26"), Region: "vestland"},
			{Prefix: netip.MustParsePrefix("192.0.2.128/26"), Region: "nordland"},
			{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Region: "ostland"},
		},
	}
}

func routes() []configuration.Route {
	route := func(name fleet.Route, pool fleet.Pool, access configuration.Access, semantics configuration.Semantics, body int) configuration.Route {
		return configuration.Route{
			Name: name, PathPrefix: "/" + string(name), Pool: pool, Access: access, Semantics: semantics, MaxBodyBytes: body,
			TimeoutMillis: 5000, FirstByteTimeoutMillis: 2000, ShiftCapMbit: 800, ShiftSharePerSecond: 0.05,
		}
	}
	calibration := route(routeKalib, poolKalibrering, configuration.AccessKeyed, configuration.SemanticsAtMostOnce, 64<<10)
	calibration.Customers = []fleet.Customer{"feltlag-nord", "verksted-lom", "verksted-oslo"}
	return []configuration.Route{
		route(routeKatalog, poolKatalog, configuration.AccessOpen, configuration.SemanticsIdempotent, 0),
		route(routeSertifikat, poolKatalog, configuration.AccessKeyed, configuration.SemanticsIdempotent, 0),
		route(routeOrdre, poolKatalog, configuration.AccessKeyed, configuration.SemanticsAtMostOnce, 64<<10),
		calibration,
	}
}
