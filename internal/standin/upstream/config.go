package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// Defaults of an upstream's configuration.
const (
	defaultSlots          = 4
	defaultMaxConnections = 400
	// maxServiceTime limits the tail of the service time distribution.
	maxServiceTime = time.Minute
)

// Config describes one upstream. Times are in milliseconds.
type Config struct {
	Name          fleet.Upstream      `json:"name"`
	Address       string              `json:"address"`
	Pool          fleet.Pool          `json:"pool"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// Queue is the maximum number of requests that wait for a slot; nil means Slots.
	Queue *int `json:"queue"`
	// ConnectionCostMillis is the time to accept a connection. Connections are
	// accepted one at a time.
	ConnectionCostMillis float64 `json:"connectionCostMillis"`
	// ProbeCostMillis is the time that a health probe takes. It occupies a slot
	// meanwhile if one is free.
	ProbeCostMillis float64 `json:"probeCostMillis"`
	// MaxConnections is the maximum number of open connections; further ones are
	// closed immediately.
	MaxConnections int `json:"maxConnections"`
	// ServiceMillis is the median and ServiceSigma the shape of the log-normal
	// service time. With a sigma of zero the service time is constant.
	ServiceMillis float64 `json:"serviceMillis"`
	ServiceSigma  float64 `json:"serviceSigma"`
	// Seed and the upstream's name seed the random service times.
	Seed uint64 `json:"seed"`
	// ColdFactor multiplies the service time while the upstream is cold: until
	// ColdMillis have passed since its start and ColdRequests have run.
	ColdFactor   float64 `json:"coldFactor"`
	ColdMillis   float64 `json:"coldMillis"`
	ColdRequests int     `json:"coldRequests"`
}

// ConfigError reports an invalid configuration.
type ConfigError struct {
	Detail string
}

func (e *ConfigError) Error() string { return "upstream configuration: " + e.Detail }

// ReadConfigs reads a JSON list of configurations. It returns *ConfigError if the
// list is invalid or has unknown fields.
func ReadConfigs(r io.Reader) ([]Config, error) {
	var configs []Config
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&configs); err != nil {
		return nil, &ConfigError{Detail: err.Error()}
	}
	return configs, nil
}

// prepareConfigs sets defaults and returns *ConfigError for values out of range.
func prepareConfigs(configs []Config) error {
	names := map[fleet.Upstream]bool{}
	for i := range configs {
		c := &configs[i]
		c.setDefaults()
		switch {
		case c.Name == "" || names[c.Name]:
			return &ConfigError{Detail: fmt.Sprintf("entry %d: name %q is empty or used twice", i, c.Name)}
		case c.Slots < 0 || *c.Queue < 0 || c.MaxConnections < 0 || c.ColdFactor < 0:
			return &ConfigError{Detail: fmt.Sprintf("%s: negative number", c.Name)}
		case c.ServiceMillis < 0 || c.ServiceSigma < 0 || c.ConnectionCostMillis < 0 || c.ProbeCostMillis < 0:
			return &ConfigError{Detail: fmt.Sprintf("%s: negative time", c.Name)}
		}
		names[c.Name] = true
	}
	return nil
}

func (c *Config) setDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Queue == nil {
		queue := c.Slots
		c.Queue = &queue
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 1
	}
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// serviceTimes draws service times from a seeded random source.
type serviceTimes struct {
	mu     sync.Mutex
	random *rand.Rand
	median float64
	sigma  float64
}

func newServiceTimes(c Config) *serviceTimes {
	source := rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Name)))
	return &serviceTimes{random: rand.New(source), median: c.ServiceMillis, sigma: c.ServiceSigma}
}

func (s *serviceTimes) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sigma == 0 {
		return millis(s.median)
	}
	return min(millis(s.median*math.Exp(s.sigma*s.random.NormFloat64())), maxServiceTime)
}
