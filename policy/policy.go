package policy

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// WeightedService is one service of a weighted route, with its weight.
type WeightedService struct {
	Service fleet.Pool
	Weight  int
}

// Route selects requests by host and path and sets how they are handled.
type Route struct {
	Name fleet.Route
	// Host is matched regardless of case and port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Parts has at least one entry.
	Parts []WeightedService
	// Idempotent requests may run more than once; all others run at most once.
	Idempotent bool
	// Timeout bounds how long a request is held; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response is fully useful to its caller.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of upstreams that a request is sent to, at least 1.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// AllowsAnonymous is true if the route accepts requests without a key.
	AllowsAnonymous bool
	// Sticky routes benefit from sending an object's requests to the same upstream.
	Sticky bool
	// Homes are the regions that may serve the requests; empty means all.
	Homes []fleet.Region
}

// Service is a set of upstreams that serve the same routes.
type Service struct {
	Name fleet.Pool
	// MaxConnections is the number of connections that an upstream accepts from all
	// hosts together; 0 means unknown.
	MaxConnections int
	// SlowStart is how long an upstream stays cold after it starts.
	SlowStart time.Duration
	// WarmupRate is the number of requests per second that a cold upstream can handle.
	WarmupRate float64
}

// Customer is a customer with its keys, priority and rate limit.
type Customer struct {
	Name fleet.Customer
	// Keys are SHA-256 digests of the customer's keys.
	Keys []Digest
	// Priority replaces the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Rate is the limit in requests per second over all hosts; 0 means no limit.
	Rate float64
	// Burst is the burst size in requests, over all hosts.
	Burst float64
	// Homes are the regions that may serve the customer; empty means all.
	Homes []fleet.Region
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	// Version increases with each accepted configuration, not always by one.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Digest is the SHA-256 digest of a key. Keys are never stored in plain text.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Snapshot is an indexed Configuration. It must not be changed.
type Snapshot struct {
	Configuration
	services map[fleet.Pool]*Service
	byHost   map[string][]*Route
	byKey    map[Digest]*Customer
}

// NewSnapshot indexes a configuration.
func NewSnapshot(c Configuration) *Snapshot {
	s := &Snapshot{
		Configuration: c,
		services:      make(map[fleet.Pool]*Service, len(c.Services)),
		byHost:        make(map[string][]*Route),
		byKey:         make(map[Digest]*Customer),
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
	for _, routes := range s.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Customers {
		for _, digest := range c.Customers[i].Keys {
			s.byKey[digest] = &c.Customers[i]
		}
	}
	return s
}

// Newer reports whether s may replace the current snapshot, which may be nil.
func (s *Snapshot) Newer(current *Snapshot) bool {
	return current == nil || s.Version > current.Version
}

// RequiresKey reports whether requests need a key, which is the case if any customer
// is configured.
func (s *Snapshot) RequiresKey() bool { return len(s.Customers) > 0 }

// RouteFor returns the route of the host with the longest path prefix that matches, or
// nil. The host may include a port.
func (s *Snapshot) RouteFor(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range s.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CustomerOf returns the customer that a key belongs to, or nil. The lookup is by
// digest, so its duration does not reveal how much of a key is correct.
func (s *Snapshot) CustomerOf(key string) *Customer { return s.byKey[DigestOf(key)] }

// Service returns the service with a name, or nil.
func (s *Snapshot) Service(name fleet.Pool) *Service { return s.services[name] }

// Allowed returns the regions that may serve a customer's requests on a route; nil
// means all. If both have homes, only their intersection is allowed.
func Allowed(r *Route, c *Customer) []fleet.Region {
	if c == nil || len(c.Homes) == 0 {
		return r.Homes
	}
	if len(r.Homes) == 0 {
		return c.Homes
	}
	// An empty intersection must not mean that all regions are allowed.
	both := make([]fleet.Region, 0, len(r.Homes))
	for _, region := range r.Homes {
		if slices.Contains(c.Homes, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []fleet.Region{noRegion}
	}
	return both
}

// noRegion is not the name of any region.
const noRegion fleet.Region = "\x00"

// PriorityOf returns the priority of a customer's requests on a route; 0 is the
// highest.
func PriorityOf(r *Route, c *Customer) int {
	if c != nil && c.HasPriority {
		return c.Priority
	}
	return r.Priority
}
