package measure

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/demo"
	"github.com/catkinspring/catkinspring/internal/jsonc"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/settings"
)

// Scenario is a deployment with its load and its faults. Its file is JSON with
// comments.
type Scenario struct {
	Name       string     `json:"name"`
	Seed       int        `json:"seed"`
	Deployment Deployment `json:"deployment"`
	Streams    []Stream   `json:"streams"`
	Customers  []Customer `json:"customers"`
	Phases     []Phase    `json:"phases"`
}

// Deployment describes a fleet and its network.
type Deployment struct {
	Regions        []fleet.Region `json:"regions"`
	Domains        int            `json:"domains"`
	HostsPerDomain int            `json:"hostsPerDomain"`
	// StoreRegion is the region of the platform's API.
	StoreRegion fleet.Region `json:"storeRegion"`
	// DomainMillis, RegionMillis and ClientMillis are one-way delays.
	DomainMillis float64                     `json:"domainMillis"`
	RegionMillis float64                     `json:"regionMillis"`
	ClientMillis float64                     `json:"clientMillis"`
	LinkMbit     float64                     `json:"linkMbit"`
	HostLag      time.Duration               `json:"hostLag"`
	Lease        time.Duration               `json:"lease"`
	MaxAge       time.Duration               `json:"maxAge"`
	Pools        []Pool                      `json:"pools"`
	Routes       []configuration.Route       `json:"routes"`
	ClientBlocks []configuration.ClientBlock `json:"clientBlocks"`
}

// Pool has the fields of demo.PoolSpec.
type Pool struct {
	Name          fleet.Pool `json:"name"`
	Upstreams     int        `json:"upstreams"`
	Slots         int        `json:"slots"`
	ServiceMillis float64    `json:"serviceMillis"`
	ServiceSigma  float64    `json:"serviceSigma"`
	ColdFactor    float64    `json:"coldFactor"`
	ColdMillis    float64    `json:"coldMillis"`
	ProbeMillis   float64    `json:"probeMillis"`
}

// Stream is a share of every customer's requests, which use one route.
type Stream struct {
	Route fleet.Route `json:"route"`
	// Share is the fraction of the customer's requests, 0 to 1.
	Share         float64 `json:"share"`
	BodyBytes     int     `json:"bodyBytes"`
	ResponseBytes int     `json:"responseBytes"`
}

// Customer is a customer with its limits and its load.
type Customer struct {
	ID        fleet.Customer `json:"id"`
	Rate      float64        `json:"rate"`
	Burst     float64        `json:"burst"`
	Weight    int            `json:"weight"`
	PerSecond float64        `json:"perSecond"`
	Clients   []netip.Addr   `json:"clients"`
}

// Phase is a period of the run with its own load and faults.
type Phase struct {
	Name string        `json:"name"`
	For  time.Duration `json:"for"`
	// Load multiplies the load of some customers.
	Load   map[fleet.Customer]float64 `json:"load"`
	Faults []Fault                    `json:"faults"`
	// Uncounted excludes the phase's requests from latencies and refusals, for a
	// fleet that is still warming up. Losses and other errors are always counted.
	Uncounted bool `json:"uncounted"`
}

// ReadScenario reads a file. Scale multiplies the times of its phases and
// faults. It returns *load.ScenarioReadError or *load.ScenarioError.
func ReadScenario(file string, scale float64) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &load.ScenarioReadError{File: file, Cause: err}
	}
	s := &Scenario{}
	doc := jsonc.Decode(text, s)
	s.validate(doc)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, &load.ScenarioError{File: file, Problems: problems}
	}
	s.scalePhases(scale)
	return s, nil
}

func (s *Scenario) scalePhases(scale float64) {
	for i := range s.Phases {
		p := &s.Phases[i]
		p.For = time.Duration(float64(p.For) * scale)
		for k := range p.Faults {
			p.Faults[k].At = time.Duration(float64(p.Faults[k].At) * scale)
		}
	}
}

func (s *Scenario) validate(doc *jsonc.Document) {
	require := func(ok bool, path, want string) {
		if !ok && !doc.Failed(path) {
			doc.Fail(path, want)
		}
	}
	d := &s.Deployment
	require(len(d.Regions) > 0 && d.Domains > 0 && d.HostsPerDomain > 0, "deployment", "must have regions, domains and hostsPerDomain")
	require(len(d.Pools) > 0 && len(d.Routes) > 0, "deployment", "must have pools and routes")
	require(len(s.Phases) > 0, "phases", "must have at least one entry")
	for i, c := range s.Customers {
		require(c.ID != "" && len(c.Clients) > 0, jsonc.Index("customers", i), "must have id and clients")
	}
	for i, stream := range s.Streams {
		fieldPath := jsonc.Index("streams", i)
		require(s.route(stream.Route) != nil, fieldPath+".route", "must be a route of the deployment")
	}
	for i, p := range s.Phases {
		fieldPath := jsonc.Index("phases", i)
		require(p.Name != "" && p.For > 0, fieldPath, "must have a name and a length above 0")
		for k, fault := range p.Faults {
			require(fault.hasKnownKind(), jsonc.Index(fieldPath+".faults", k)+".kind", "must be one of "+strings.Join(faultKinds(), ", "))
		}
	}
}

func (s *Scenario) route(name fleet.Route) *configuration.Route {
	for i := range s.Deployment.Routes {
		if s.Deployment.Routes[i].Name == name {
			return &s.Deployment.Routes[i]
		}
	}
	return nil
}

// Length returns the total time of all phases.
func (s *Scenario) Length() time.Duration {
	total := time.Duration(0)
	for _, p := range s.Phases {
		total += p.For
	}
	return total
}

// drainTimeout bounds the drain of a host that is stopped gracefully.
const drainTimeout = 20 * time.Second

// fleetSpec describes the fleet for package demo.
func (s *Scenario) fleetSpec() demo.Spec {
	d := &s.Deployment
	fleetSpec := demo.Spec{
		Regions: d.Regions, Domains: d.Domains, HostsPerDomain: d.HostsPerDomain, Lease: d.Lease, MaxAge: d.MaxAge,
		DrainTimeout: drainTimeout, HostLag: d.HostLag, RegionMS: d.RegionMillis, Routes: d.Routes, Blocks: d.ClientBlocks,
	}
	for _, pool := range d.Pools {
		fleetSpec.Pools = append(fleetSpec.Pools, demo.PoolSpec(pool))
	}
	for _, c := range s.Customers {
		fleetSpec.Customers = append(fleetSpec.Customers, demo.CustomerSpec{ID: c.ID, Rate: c.Rate, Burst: c.Burst, Weight: c.Weight, Keys: 1})
	}
	return fleetSpec
}

// The limits of the simulated callers.
const (
	callerAttempts       = 5
	callerAttemptTimeout = 2 * time.Second
	callerRequestTimeout = 4 * time.Second
	callerMaxRetryAfter  = time.Second
	callerMaxInFlight    = 20_000
)

// load returns the load for a running fleet.
func (s *Scenario) load(f *demo.Fleet) *load.Scenario {
	l := &load.Scenario{
		Name: s.Name, Seed: s.Seed, Attempts: callerAttempts, AttemptTimeout: callerAttemptTimeout,
		RequestTimeout: callerRequestTimeout, MaxRetryAfter: callerMaxRetryAfter, MaxInFlight: callerMaxInFlight,
	}
	for _, h := range f.Hosts {
		l.EntryHosts = append(l.EntryHosts, h.Callers)
	}
	for i := range s.Customers {
		c := &s.Customers[i]
		added := load.Customer{
			ID: c.ID, Key: settings.SecretRef{File: f.KeyFile(c.ID, 0)}, Clients: c.Clients,
			ClientDelay: time.Duration(s.Deployment.ClientMillis * float64(time.Millisecond)),
		}
		for _, stream := range s.Streams {
			added.Streams = append(added.Streams, s.stream(c, stream))
		}
		l.Customers = append(l.Customers, added)
	}
	return l
}

func (s *Scenario) stream(c *Customer, stream Stream) load.Stream {
	route := s.route(stream.Route)
	l := load.Stream{
		Name: fmt.Sprintf("%s-%s", c.ID, route.Name), Route: route.Name, Path: route.PathPrefix, Method: "GET",
		Access: route.Access, Semantics: route.Semantics, BodyBytes: stream.BodyBytes, ResponseBytes: stream.ResponseBytes,
	}
	if route.Semantics == configuration.SemanticsAtMostOnce {
		l.Method = "POST"
	}
	for _, p := range s.Phases {
		factor, ok := p.Load[c.ID]
		if !ok {
			factor = 1
		}
		l.Rates = append(l.Rates, load.Rate{For: p.For, PerSecond: c.PerSecond * stream.Share * factor})
	}
	return l
}
