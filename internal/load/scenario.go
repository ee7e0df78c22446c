package load

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/jsonc"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/settings"
)

// Defaults and bounds of a scenario.
const (
	defaultAttempts       = 5
	defaultAttemptTimeout = 3 * time.Second
	defaultRequestTimeout = 10 * time.Second
	defaultMaxRetryAfter  = time.Second
	defaultMaxInFlight    = 10_000
	defaultResponseBytes  = 64
	maxBytes              = 8 << 20
	maxArrivals           = 5_000_000
)

// Scenario describes a load. Its file is JSON with comments.
type Scenario struct {
	Name string `json:"name"`
	// Seed determines arrival times and the choice of clients.
	Seed int `json:"seed"`
	// EntryHosts are the entry host addresses that receive lookups. The requests
	// themselves go to the hosts in the lookup answers.
	EntryHosts []netip.AddrPort `json:"entryHosts"`
	// Attempts bounds the attempts of one request.
	Attempts int `json:"attempts"`
	// AttemptTimeout bounds one attempt from its start, and RequestTimeout the whole
	// request with its retries from its intended start.
	AttemptTimeout time.Duration `json:"attemptTimeout"`
	RequestTimeout time.Duration `json:"requestTimeout"`
	// MaxRetryAfter bounds the wait that a Retry-After header requests.
	MaxRetryAfter time.Duration `json:"maxRetryAfter"`
	// MaxInFlight bounds the requests in flight. Arrivals above it are counted as
	// not sent.
	MaxInFlight int        `json:"maxInFlight"`
	Customers   []Customer `json:"customers"`
}

// Customer describes a customer whose callers send requests.
type Customer struct {
	ID fleet.Customer `json:"id"`
	// Key refers to the customer's key. It is optional if all routes are open.
	Key settings.SecretRef `json:"key" secret:"true"`
	// Clients are the client addresses of the customer's callers. Each caller has its
	// own cache of lookup answers.
	Clients []netip.Addr `json:"clients"`
	// ClientDelay is the one-way delay between caller and entry host.
	ClientDelay time.Duration `json:"clientDelay"`
	Streams     []Stream      `json:"streams"`
}

// Stream is a sequence of requests of the same kind.
type Stream struct {
	Name  string      `json:"name"`
	Route fleet.Route `json:"route"`
	// Path is the prefix of the target. The run ID, the stream's name and the
	// request's number are appended.
	Path   string `json:"path"`
	Method string `json:"method"`
	// Access and Semantics are those of the route.
	Access    configuration.Access    `json:"access"`
	Semantics configuration.Semantics `json:"semantics"`
	// Key overrides the customer's key.
	Key           settings.SecretRef `json:"key" secret:"true"`
	BodyBytes     int                `json:"bodyBytes"`
	ResponseBytes int                `json:"responseBytes"`
	Rates         []Rate             `json:"rates"`
}

// Rate is a phase of a stream with a constant mean rate.
type Rate struct {
	For       time.Duration `json:"for"`
	PerSecond float64       `json:"perSecond"`
}

func (s *Stream) atMostOnce() bool { return s.Semantics == configuration.SemanticsAtMostOnce }

func (s *Stream) keyed() bool { return s.Access == configuration.AccessKeyed }

// ScenarioError reports all problems of a scenario.
type ScenarioError struct {
	File     string
	Problems []jsonc.Problem
}

func (e *ScenarioError) Error() string {
	return fmt.Sprintf("scenario %s: %d problems\n%s", e.File, len(e.Problems), jsonc.Join(e.Problems))
}

// ScenarioReadError reports a scenario file that could not be read.
type ScenarioReadError struct {
	File  string
	Cause error
}

func (e *ScenarioReadError) Error() string { return fmt.Sprintf("scenario %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *ScenarioReadError) Unwrap() error { return e.Cause }

// ReadScenario reads a file. It returns *ScenarioReadError or *ScenarioError.
func ReadScenario(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ScenarioReadError{File: file, Cause: err}
	}
	s, problems := ParseScenario(text)
	if len(problems) > 0 {
		return nil, &ScenarioError{File: file, Problems: problems}
	}
	s.resolveKeys(filepath.Dir(file))
	return s, nil
}

// resolveKeys makes paths of key files relative to the scenario's directory.
func (s *Scenario) resolveKeys(directory string) {
	resolve := func(ref *settings.SecretRef) {
		if ref.File != "" && !filepath.IsAbs(ref.File) {
			ref.File = filepath.Join(directory, ref.File)
		}
	}
	for i := range s.Customers {
		resolve(&s.Customers[i].Key)
		for k := range s.Customers[i].Streams {
			resolve(&s.Customers[i].Streams[k].Key)
		}
	}
}

// ParseScenario parses a scenario and sets defaults. It returns all problems, not
// only the first.
func ParseScenario(text []byte) (*Scenario, []jsonc.Problem) {
	s := &Scenario{
		Attempts: defaultAttempts, AttemptTimeout: defaultAttemptTimeout, RequestTimeout: defaultRequestTimeout,
		MaxRetryAfter: defaultMaxRetryAfter, MaxInFlight: defaultMaxInFlight,
	}
	doc := jsonc.Decode(text, s)
	validate(doc, s)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

func validate(doc *jsonc.Document, s *Scenario) {
	require := func(ok bool, path, want string) {
		if !ok && !doc.Failed(path) {
			doc.Fail(path, want)
		}
	}
	require(len(s.EntryHosts) > 0, "entryHosts", "must name at least one callers' address")
	require(s.Attempts >= 1, "attempts", "must be at least 1")
	require(s.AttemptTimeout > 0, "attemptTimeout", "must be above 0")
	require(s.RequestTimeout >= s.AttemptTimeout, "requestTimeout", "must be at least attemptTimeout")
	require(s.MaxRetryAfter >= 0, "maxRetryAfter", "must not be negative")
	require(s.MaxInFlight >= 1, "maxInFlight", "must be at least 1")
	require(len(s.Customers) > 0, "customers", "must have at least one entry")
	names, arrivals := map[string]bool{}, 0.0
	for i := range s.Customers {
		c, at := &s.Customers[i], jsonc.Index("customers", i)
		require(c.ID != "", at+".id", "is required")
		require(len(c.Clients) > 0, at+".clients", "must name at least one address")
		require(c.ClientDelay >= 0, at+".clientDelay", "must not be negative")
		for k := range c.Streams {
			stream, at := &c.Streams[k], jsonc.Index(at+".streams", k)
			require(stream.Name != "" && !names[stream.Name], at+".name", "must be given and differ from the other streams' names")
			names[stream.Name] = true
			arrivals += validateStream(require, at, stream)
			hasKey := !c.Key.IsZero() || !stream.Key.IsZero()
			require(!stream.keyed() || hasKey, at+".key", "is required on a keyed route")
		}
	}
	require(arrivals <= maxArrivals, "", fmt.Sprintf("must send at most %d requests", maxArrivals))
}

// validateStream validates a stream, sets its defaults and returns the expected number
// of requests.
func validateStream(require func(bool, string, string), at string, s *Stream) float64 {
	if s.Method == "" {
		s.Method = "GET"
		if s.atMostOnce() {
			s.Method = "POST"
		}
	}
	if s.ResponseBytes == 0 {
		s.ResponseBytes = defaultResponseBytes
	}
	require(s.Route != "", at+".route", "is required")
	require(strings.HasPrefix(s.Path, "/") && !strings.Contains(s.Path, "?"), at+".path", `must start with "/" and have no query`)
	require(s.Access == configuration.AccessOpen || s.keyed(), at+".access", `must be "open" or "keyed"`)
	require(s.Semantics == configuration.SemanticsIdempotent || s.atMostOnce(), at+".semantics", `must be "idempotent" or "at-most-once"`)
	require(s.BodyBytes >= 0 && s.BodyBytes <= maxBytes, at+".bodyBytes", fmt.Sprintf("must be 0 to %d", maxBytes))
	require(s.ResponseBytes >= 0 && s.ResponseBytes <= maxBytes, at+".responseBytes", fmt.Sprintf("must be 0 to %d", maxBytes))
	arrivals := 0.0
	for i, rate := range s.Rates {
		require(rate.For > 0, jsonc.Index(at+".rates", i)+".for", "must be above 0")
		require(rate.PerSecond >= 0, jsonc.Index(at+".rates", i)+".perSecond", "must not be negative")
		arrivals += rate.For.Seconds() * rate.PerSecond
	}
	return arrivals
}

// KeyError reports a secret that is not a customer's key. It never holds the secret.
type KeyError struct {
	Customer fleet.Customer
	Cause    error
}

func (e *KeyError) Error() string { return fmt.Sprintf("key of customer %s: %v", e.Customer, e.Cause) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// readKey returns the key of a stream, zero if it has none.
func readKey(c *Customer, s *Stream) (keys.Key, error) {
	ref := s.Key
	if ref.IsZero() {
		ref = c.Key
	}
	if ref.IsZero() {
		return keys.Key{}, nil
	}
	secret, err := ref.Read()
	if err != nil {
		return keys.Key{}, err
	}
	key, err := keys.Parse([]byte(secret.Reveal()))
	if err != nil {
		return keys.Key{}, &KeyError{Customer: c.ID, Cause: err}
	}
	return key, nil
}
