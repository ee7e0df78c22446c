package configuration

import (
	"net/netip"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Access controls who may use a route.
type Access string

// The access modes.
const (
	AccessOpen  Access = "open"
	AccessKeyed Access = "keyed"
)

// Semantics controls how often a request of a route may run.
type Semantics string

// The execution semantics.
const (
	SemanticsIdempotent Semantics = "idempotent"
	SemanticsAtMostOnce Semantics = "at-most-once"
)

// Route maps a path prefix to a pool of upstreams.
type Route struct {
	Name       fleet.Route `json:"name" cbor:"1,keyasint"`
	PathPrefix string      `json:"pathPrefix" cbor:"2,keyasint"`
	Pool       fleet.Pool  `json:"pool" cbor:"3,keyasint"`
	Access     Access      `json:"access" cbor:"4,keyasint"`
	// Customers are the customers that may use a keyed route; empty means all.
	Customers []fleet.Customer `json:"customers,omitempty" cbor:"5,keyasint,omitempty"`
	Semantics Semantics        `json:"semantics" cbor:"6,keyasint"`
	// MaxBodyBytes is the maximum size of the request body.
	MaxBodyBytes int `json:"maxBodyBytes" cbor:"7,keyasint"`
	// TimeoutMillis bounds the time from the admission of a request to its response.
	TimeoutMillis int `json:"timeoutMillis" cbor:"8,keyasint"`
	// FirstByteTimeoutMillis bounds the wait for the first byte of a response.
	FirstByteTimeoutMillis int `json:"firstByteTimeoutMillis" cbor:"9,keyasint"`
	// ShiftCapMbit bounds the route's traffic between two regions, summed over all hosts; 0 allows none.
	ShiftCapMbit float64 `json:"shiftCapMbit" cbor:"10,keyasint"`
	// ShiftSharePerSecond bounds the growth of the share of traffic sent to another region, 0 to 1 per second.
	ShiftSharePerSecond float64 `json:"shiftSharePerSecond" cbor:"11,keyasint"`
}

// Timeout returns TimeoutMillis as a duration.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// FirstByteTimeout returns FirstByteTimeoutMillis as a duration.
func (r *Route) FirstByteTimeout() time.Duration {
	return time.Duration(r.FirstByteTimeoutMillis) * time.Millisecond
}

// Allows reports whether a customer may use a keyed route.
func (r *Route) Allows(customer fleet.Customer) bool {
	if len(r.Customers) == 0 {
		return true
	}
	for _, allowed := range r.Customers {
		if allowed == customer {
			return true
		}
	}
	return false
}

// KeyDigestSize is the size of a key digest, in bytes.
const KeyDigestSize = 32

// Key is a customer's key as it is stored.
type Key struct {
	// ID is the public part of the key.
	ID string `json:"id" cbor:"1,keyasint"`
	// Digest is the SHA-256 of the whole key, in hexadecimal.
	Digest string `json:"digest" cbor:"2,keyasint"`
}

// Customer is a client that authenticates its requests with a key.
type Customer struct {
	ID   fleet.Customer `json:"id" cbor:"1,keyasint"`
	Keys []Key          `json:"keys" cbor:"2,keyasint"`
	// Rate is the limit over the whole fleet, in requests per second.
	Rate float64 `json:"rate" cbor:"3,keyasint"`
	// Burst is the burst limit over the whole fleet, in requests.
	Burst float64 `json:"burst" cbor:"4,keyasint"`
	// Weight is the customer's relative share when capacity is short, at least 1.
	Weight int `json:"weight" cbor:"5,keyasint"`
}

// ClientBlock maps a block of client addresses to the region nearest to them.
type ClientBlock struct {
	Prefix netip.Prefix `json:"prefix" cbor:"1,keyasint"`
	Region fleet.Region `json:"region" cbor:"2,keyasint"`
}

// Snapshot is one revision of the configuration. Call Index before publishing it;
// it is immutable after that.
type Snapshot struct {
	Revision   fleet.Revision
	Routes     []Route
	Customers  []Customer
	Blocks     []ClientBlock
	AlertRules []string

	routes    map[fleet.Route]*Route
	customers map[fleet.Customer]*Customer
	keys      map[string]KeyOwner
}

// KeyOwner is a stored key with its customer.
type KeyOwner struct {
	Customer *Customer
	Key      Key
}

// Index builds the lookup tables of the snapshot.
func (s *Snapshot) Index() {
	s.routes = make(map[fleet.Route]*Route, len(s.Routes))
	for i := range s.Routes {
		s.routes[s.Routes[i].Name] = &s.Routes[i]
	}
	s.customers = make(map[fleet.Customer]*Customer, len(s.Customers))
	s.keys = make(map[string]KeyOwner)
	for i := range s.Customers {
		c := &s.Customers[i]
		s.customers[c.ID] = c
		for _, key := range c.Keys {
			s.keys[key.ID] = KeyOwner{Customer: c, Key: key}
		}
	}
}

// Route returns a route by name, or nil.
func (s *Snapshot) Route(name fleet.Route) *Route { return s.routes[name] }

// Customer returns a customer by id, or nil.
func (s *Snapshot) Customer(id fleet.Customer) *Customer { return s.customers[id] }

// KeyOwner returns a key and its customer. The caller must compare the digest.
func (s *Snapshot) KeyOwner(keyID string) (KeyOwner, bool) {
	owner, ok := s.keys[keyID]
	return owner, ok
}

// RouteFor returns the route with the longest path prefix that matches, or nil.
// Prefixes match whole path segments only.
func (s *Snapshot) RouteFor(path string) *Route {
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if matchesPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
