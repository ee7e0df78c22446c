package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/internal/jsonc"
)

// MaxFileSize bounds a settings file, in bytes.
const MaxFileSize = 1 << 20

// Limits of lists and of the delay between two regions.
const (
	maxKnownPeers  = 64
	maxDelayPairs  = 1024
	maxDelayMillis = 1000.0
)

// Error reports all problems of a settings file.
type Error struct {
	// File is the path of the file; empty if the text is not from a file.
	File     string
	Problems []jsonc.Problem
}

func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %d problems\n%s", e.File, len(e.Problems), jsonc.Join(e.Problems))
}

// ReadError reports a settings file that could not be read.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return fmt.Sprintf("settings %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads a settings file. It returns *ReadError or *Error.
func Load(path string) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, &ReadError{File: path, Cause: err}
	}
	s, problems := Parse(text)
	if len(problems) > 0 {
		return nil, &Error{File: path, Problems: problems}
	}
	return s, nil
}

// Parse reads and checks the text of a settings file. If there are problems it
// returns all of them and no settings.
func Parse(text []byte) (*Settings, []jsonc.Problem) {
	if len(text) > MaxFileSize {
		return nil, []jsonc.Problem{{Line: 1, Column: 1, Want: fmt.Sprintf("must have at most %d bytes", MaxFileSize)}}
	}
	s := Defaults()
	c := &checker{doc: jsonc.Decode(text, &s)}
	c.check(&s)
	if problems := c.doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

// checker validates the fields that were decoded and adds their problems. It skips
// fields that already have one.
type checker struct {
	doc *jsonc.Document
}

func (c *checker) fail(path, want string) {
	if !c.doc.Failed(path) {
		c.doc.Fail(path, want)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (c *checker) check(s *Settings) {
	c.name("host.id", string(s.Host.ID))
	c.name("host.region", string(s.Host.Region))
	c.name("host.failureDomain", string(s.Host.FailureDomain))
	c.name("host.cell", s.Host.Cell)
	c.addresses(s)
	c.pemPath("fleetTLS.ca", s.FleetTLS.CA)
	c.pemPath("fleetTLS.certificate", s.FleetTLS.Certificate)
	c.pemPath("fleetTLS.key", s.FleetTLS.Key)
	c.platform(&s.Platform)
	c.peers(s)
	c.duration("lease.duration", s.Lease.Duration, 3*time.Second, time.Minute)
	c.duration("lookup.maxAge", s.Lookup.MaxAge, time.Second, 5*time.Minute)
	c.duration("drain.timeout", s.Drain.Timeout, time.Second, 10*time.Minute)
	if s.Drain.Timeout <= s.Lookup.MaxAge {
		c.fail("drain.timeout", "must be more than lookup.maxAge, "+s.Lookup.MaxAge.String())
	}
	c.requests(&s.Requests)
	if s.Operators.Credential.IsZero() {
		c.fail("operators.credential", `is required: {"file": PATH} or {"environment": NAME}`)
	}
	c.secret("operators.credential", s.Operators.Credential)
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, s.Log.Level) {
		c.fail("log.level", "must be one of "+strings.Join(levels, ", "))
	}
	c.number("timeline.entries", s.Timeline.Entries, 1024, 1<<20)
	c.delays(s.Delays.Regions)
}

func (c *checker) name(path, value string) {
	if !c.doc.Has(path) && value == "" {
		c.fail(path, "is required: 1 to 63 lower-case letters, digits and hyphens")
	} else if !namePattern.MatchString(value) {
		c.fail(path, "must be 1 to 63 lower-case letters, digits and hyphens")
	}
}

func (c *checker) pemPath(path, value string) {
	if value == "" {
		c.fail(path, "is required: the path of a PEM file")
	}
}

func (c *checker) duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		c.fail(path, fmt.Sprintf("must be %v to %v", low, high))
	}
}

func (c *checker) number(path string, value, low, high int) {
	if value < low || value > high {
		c.fail(path, fmt.Sprintf("must be %d to %d", low, high))
	}
}

func (c *checker) addresses(s *Settings) {
	type address struct {
		name      string
		listen    netip.AddrPort
		advertise *netip.AddrPort
	}
	addresses := []address{
		{"callers", s.Listen.Callers, &s.Advertise.Callers},
		{"peers", s.Listen.Peers, &s.Advertise.Peers},
		{"operators", s.Listen.Operators, &s.Advertise.Operators},
	}
	for i, a := range addresses {
		listenPath, advertisePath := "listen."+a.name, "advertise."+a.name
		if !a.listen.IsValid() || a.listen.Port() == 0 {
			c.fail(listenPath, `is required: an IP address and a port above 0 such as "127.0.0.1:7000"`)
			continue
		}
		for _, other := range addresses[:i] {
			if other.listen == a.listen {
				c.fail(listenPath, "must differ from listen."+other.name)
			}
		}
		if !c.doc.Has(advertisePath) {
			*a.advertise = a.listen
		}
		if !a.advertise.IsValid() || a.advertise.Port() == 0 || a.advertise.Addr().IsUnspecified() {
			c.fail(advertisePath, "must be an address and port that others can connect to")
		}
	}
}

func (c *checker) platform(p *Platform) {
	if !p.Address.IsValid() || p.Address.Port() == 0 {
		c.fail("platform.address", `is required: an IP address and a port above 0 such as "127.0.0.1:7000"`)
	}
	c.duration("platform.timeout", p.Timeout, 100*time.Millisecond, 10*time.Second)
	c.duration("platform.connectTimeout", p.ConnectTimeout, 50*time.Millisecond, 5*time.Second)
	if p.ConnectTimeout > p.Timeout {
		c.fail("platform.connectTimeout", "must be at most platform.timeout, "+p.Timeout.String())
	}
	c.duration("platform.watchTimeout", p.WatchTimeout, time.Second, time.Minute)
	c.secret("platform.token", p.Token)
}

func (c *checker) peers(s *Settings) {
	if len(s.Peers.Known) > maxKnownPeers {
		c.fail("peers.known", fmt.Sprintf("must have at most %d entries", maxKnownPeers))
	}
	for i, address := range s.Peers.Known {
		path := jsonc.Index("peers.known", i)
		if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
			c.fail(path, "must be the address and port of a host")
		} else if slices.Contains(s.Peers.Known[:i], address) {
			c.fail(path, "is given twice; leave one of them out")
		}
	}
}

func (c *checker) requests(r *Requests) {
	c.number("requests.headerBytes", r.HeaderBytes, 4096, 65536)
	c.number("requests.bodyBytes", r.BodyBytes, 1024, 8<<20)
	c.duration("requests.readTimeout", r.ReadTimeout, time.Second, time.Minute)
	c.number("requests.queuePerCustomer", r.QueuePerCustomer, 1, 1024)
	c.number("requests.queuePerHost", r.QueuePerHost, 1, 65536)
	if r.QueuePerHost < r.QueuePerCustomer {
		c.fail("requests.queuePerHost", fmt.Sprintf("must be at least requests.queuePerCustomer, %d", r.QueuePerCustomer))
	}
	c.number("requests.connections", r.Connections, 16, 65536)
}

func (c *checker) secret(path string, ref SecretRef) {
	if ref.File != "" && ref.Environment != "" {
		c.fail(path, "must have either file or environment, not both")
	}
	if c.doc.Has(path) && ref.IsZero() {
		c.fail(path, `must be {"file": PATH} or {"environment": NAME}`)
	}
	if ref.Environment != "" && !environmentName.MatchString(ref.Environment) {
		c.fail(path+".environment", "must be the name of an environment variable")
	}
}

func (c *checker) delays(regions map[RegionPair]float64) {
	if len(regions) > maxDelayPairs {
		c.fail("delays.regions", fmt.Sprintf("must have at most %d pairs", maxDelayPairs))
	}
	for pair, millis := range regions {
		path := jsonc.Field("delays.regions", string(pair))
		from, to, ok := strings.Cut(string(pair), "/")
		if !ok || !namePattern.MatchString(from) || !namePattern.MatchString(to) || from == to {
			c.fail(path, `must be named "FROM/TO" with two different regions`)
		}
		if millis <= 0 || millis > maxDelayMillis {
			c.fail(path, fmt.Sprintf("must be above 0 and at most %v milliseconds", maxDelayMillis))
		}
	}
}
