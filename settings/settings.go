package settings

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Settings is the content of a settings file. docs/operators/settings.md documents
// the fields for operators; a test checks that both list the same fields.
type Settings struct {
	Host      Host      `json:"host"`
	Listen    Listen    `json:"listen"`
	Advertise Advertise `json:"advertise"`
	FleetTLS  FleetTLS  `json:"fleetTLS"`
	Platform  Platform  `json:"platform"`
	Peers     Peers     `json:"peers"`
	Lease     Lease     `json:"lease"`
	Lookup    Lookup    `json:"lookup"`
	Drain     Drain     `json:"drain"`
	Requests  Requests  `json:"requests"`
	Operators Operators `json:"operators"`
	Log       Log       `json:"log"`
	Timeline  Timeline  `json:"timeline"`
	Delays    Delays    `json:"delays"`
}

// Host identifies the host and its location.
type Host struct {
	// ID is the host ID, unique in the fleet. Required; 1 to 63 lower-case
	// letters, digits and hyphens.
	ID fleet.HostID `json:"id"`
	// Region is the name of the region. Required; same form as ID.
	Region fleet.Region `json:"region"`
	// FailureDomain is the failure domain within the region. Required; same form as ID.
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	// Cell is the name of the cell whose roster the host joins. Default "1";
	// same form as ID.
	Cell string `json:"cell"`
}

// Listen holds the addresses on which the process listens. They are required
// and must differ from each other.
type Listen struct {
	// Callers is the TCP address for callers: IP address and port.
	Callers netip.AddrPort `json:"callers"`
	// Peers is the UDP address for other hosts of the fleet: IP address and port.
	Peers netip.AddrPort `json:"peers"`
	// Operators is the TCP address for operators: IP address and port.
	Operators netip.AddrPort `json:"operators"`
}

// Advertise holds the addresses that others use to reach the process. Each
// defaults to the listen address and is required if that one is unspecified,
// such as 0.0.0.0.
type Advertise struct {
	// Callers is the address in the responses to lookups of entry hosts.
	Callers netip.AddrPort `json:"callers"`
	// Peers is the address in the roster.
	Peers netip.AddrPort `json:"peers"`
	// Operators is the address printed for operators.
	Operators netip.AddrPort `json:"operators"`
}

// FleetTLS names the files for mutual TLS between hosts, in PEM form. All are required.
type FleetTLS struct {
	// CA is the path of the certificate of the fleet's certificate authority.
	CA string `json:"ca"`
	// Certificate is the path of this host's certificate.
	Certificate string `json:"certificate"`
	// Key is the path of the private key of the certificate.
	Key string `json:"key"`
}

// Platform configures access to the platform's API.
type Platform struct {
	// Address is the IP address and port. Required.
	Address netip.AddrPort `json:"address"`
	// Timeout bounds one call. Default 2s; 100ms to 10s.
	Timeout time.Duration `json:"timeout"`
	// ConnectTimeout bounds the set-up of a connection. Default 500ms; 50ms to
	// 5s, at most Timeout.
	ConnectTimeout time.Duration `json:"connectTimeout"`
	// WatchTimeout is the length of one long poll. Default 20s; 1s to 60s.
	WatchTimeout time.Duration `json:"watchTimeout"`
	// CA is the path of a PEM certificate. If set, the API is called over TLS and
	// its certificate must be signed by this authority. Default: none.
	CA string `json:"ca"`
	// Token refers to a bearer token. Default: none.
	Token SecretRef `json:"token" secret:"true"`
}

// Peers configures the other hosts that are known before the roster is read.
type Peers struct {
	// Known lists peer addresses from which roster and configuration are requested
	// at startup. Default: none; at most 64.
	Known []netip.AddrPort `json:"known"`
}

// Lease configures the host lease.
type Lease struct {
	// Duration is how long a lease is valid: T in docs/design.md, section 3. It must
	// be the same on every host of a cell. Default 10s; 3s to 60s.
	Duration time.Duration `json:"duration"`
}

// Lookup configures the responses to lookups of entry hosts.
type Lookup struct {
	// MaxAge is how long callers may cache a response. Default 5s; 1s to 5m.
	MaxAge time.Duration `json:"maxAge"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Timeout bounds a graceful shutdown. Default 30s; 1s to 10m, more than lookup.maxAge.
	Timeout time.Duration `json:"timeout"`
}

// Requests limits the requests of callers.
type Requests struct {
	// HeaderBytes bounds the header of a request, in bytes. Default 16384; 4096 to 65536.
	HeaderBytes int `json:"headerBytes"`
	// BodyBytes bounds the body of a request on every route, in bytes. Default
	// 8388608; 1024 to 8388608.
	BodyBytes int `json:"bodyBytes"`
	// ReadTimeout bounds reading a request. Default 10s; 1s to 60s.
	ReadTimeout time.Duration `json:"readTimeout"`
	// QueuePerCustomer bounds the queued requests of a customer. Default 64; 1 to 1024.
	QueuePerCustomer int `json:"queuePerCustomer"`
	// QueuePerHost bounds the queued requests of the host. Default 1024; 1 to
	// 65536, at least QueuePerCustomer.
	QueuePerHost int `json:"queuePerHost"`
	// Connections bounds the open connections of callers. Default 4096; 16 to 65536.
	Connections int `json:"connections"`
}

// Operators configures the operators' interface.
type Operators struct {
	// Credential refers to the bearer token that operators present. Required.
	Credential SecretRef `json:"credential" secret:"true"`
}

// Log configures the log on standard error.
type Log struct {
	// Level is the lowest level that is written: debug, info, warn or error. Default info.
	Level string `json:"level"`
}

// Timeline configures the timeline of events.
type Timeline struct {
	// Entries is the number of events kept in memory. Default 32768;
	// 1024 to 1048576.
	Entries int `json:"entries"`
}

// RegionPair names two regions as "FROM/TO".
type RegionPair string

// Delays configures the known network delays.
type Delays struct {
	// Regions maps "FROM/TO" to the one-way delay in milliseconds. A pair given in
	// only one direction applies to both. Default: none; each above 0 and at most
	// 1000; at most 1024 pairs.
	Regions map[RegionPair]float64 `json:"regions"`
}

// Between returns the one-way delay between two regions, and whether it is known.
func (d Delays) Between(from, to fleet.Region) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	millis, ok := d.Regions[RegionPair(from+"/"+to)]
	if !ok {
		millis, ok = d.Regions[RegionPair(to+"/"+from)]
	}
	return time.Duration(millis * float64(time.Millisecond)), ok
}

// Defaults returns the settings of an empty file.
func Defaults() Settings {
	return Settings{
		Host:     Host{Cell: "1"},
		Platform: Platform{Timeout: 2 * time.Second, ConnectTimeout: 500 * time.Millisecond, WatchTimeout: 20 * time.Second},
		Lease:    Lease{Duration: 10 * time.Second},
		Lookup:   Lookup{MaxAge: 5 * time.Second},
		Drain:    Drain{Timeout: 30 * time.Second},
		Requests: Requests{
			HeaderBytes: 16 << 10, BodyBytes: 8 << 20, ReadTimeout: 10 * time.Second,
			QueuePerCustomer: 64, QueuePerHost: 1024, Connections: 4096,
		},
		Log:      Log{Level: "info"},
		Timeline: Timeline{Entries: 32768},
	}
}
