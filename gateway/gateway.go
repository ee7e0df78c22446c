package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/bytebudget"
	"github.com/catkinspring/catkinspring/lookup"
	"github.com/catkinspring/catkinspring/requestlog"
	"github.com/catkinspring/catkinspring/traffic"
)

// Limits and timeouts of the caller interface.
const (
	// DefaultHeaderBytes is the default limit for the request line and header together.
	DefaultHeaderBytes = 16 << 10
	// DefaultBodyBytes is the default limit for the body, even if a route allows more.
	DefaultBodyBytes = 8 << 20
	// unauthenticatedBodyBytes limits the body of a request that will be refused,
	// so that callers without a key can't exhaust the memory.
	unauthenticatedBodyBytes = 64 << 10
	// DefaultUploadBytes is the default limit for the bodies that are read or handled at a
	// time.
	DefaultUploadBytes = 128 << 20
	// DefaultReadTimeout is the default limit for the time to receive a request.
	DefaultReadTimeout = 10 * time.Second
	// responseWriteTimeout bounds the time to send a response to a slow caller.
	responseWriteTimeout = 30 * time.Second
	// idleTimeout is how long a caller's connection may stay without requests.
	idleTimeout = 60 * time.Second
	// DefaultMaxConnections is the default limit for callers' connections.
	DefaultMaxConnections = 4096
	// DefaultTimeout is the request timeout of routes that set none.
	DefaultTimeout = 30 * time.Second
)

// Dispatcher runs a request at an upstream. Its errors are *problem.Error. It
// calls request.LastCheck immediately before the first byte of each attempt is
// written.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *dispatch.Request, into *fasthttp.Response) error
}

// Config configures a Gateway. All functions must be safe for concurrent use.
type Config struct {
	// Snapshot returns the configuration, or nil before there is one.
	Snapshot func() *configuration.Snapshot
	// View returns the membership view, or nil before there is one.
	View func() *fleet.View
	// RegionTable returns the lookup table of the configuration's client blocks. A
	// nil function means that there are none.
	RegionTable   func() *lookup.Table
	LookupBuilder *lookup.Builder
	Lease         traffic.Lease
	Clock         traffic.Clock
	Limiter       traffic.Limiter
	Claimer       traffic.Claimer

	Dispatcher Dispatcher
	// Quarantined reports whether requests with a fingerprint are refused. It,
	// KeySuspended and Draining may be nil, which means never.
	Quarantined func(fingerprint uint64) bool
	// KeySuspended reports whether the key with this ID may be about to be
	// withdrawn.
	KeySuspended func(keyID string) bool
	// Draining reports whether the host refuses new requests. It is still false
	// while a leaving host serves callers with cached lookup answers.
	Draining func() bool

	// StopPlan returns the plan of the planned stop, or nil before one begins. A nil
	// function means that there never is one.
	StopPlan func() *StopPlan

	// MaxConnections limits callers' connections; 0 means DefaultMaxConnections.
	MaxConnections int
	// HeaderBytes limits the request line and header; 0 means DefaultHeaderBytes.
	HeaderBytes int
	// BodyBytes limits the body on every route; 0 means DefaultBodyBytes.
	BodyBytes int
	// UploadBytes limits what all bodies that are read or handled hold together; 0 means
	// DefaultUploadBytes.
	UploadBytes int64
	// ReadTimeout limits the time to receive a request; 0 means
	// DefaultReadTimeout.
	ReadTimeout time.Duration
	// Requests records finished requests; nil means that none are recorded.
	Requests requestlog.Recorder
	// Registry holds the metrics; nil means the default registry of go-metrics.
	Registry metrics.Registry
	Logger   zerolog.Logger
}

// Gateway serves callers.
type Gateway struct {
	Config
	server      *fasthttp.Server
	metrics     *gatewayMetrics
	connections *connections
	// uploads bounds the memory of all bodies of requests.
	uploads *bytebudget.Budget

	mu sync.Mutex
	// listener is nil before Serve. stopping is true once Serve must not accept more
	// than the listener's backlog.
	listener *boundedListener
	stopping bool
	stop     stopCounters
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.MaxConnections <= 0 {
		config.MaxConnections = DefaultMaxConnections
	}
	if config.HeaderBytes <= 0 {
		config.HeaderBytes = DefaultHeaderBytes
	}
	if config.BodyBytes <= 0 {
		config.BodyBytes = DefaultBodyBytes
	}
	if config.UploadBytes <= 0 {
		config.UploadBytes = DefaultUploadBytes
	}
	if config.ReadTimeout <= 0 {
		config.ReadTimeout = DefaultReadTimeout
	}
	if config.Requests == nil {
		config.Requests = requestlog.Recorders{}
	}
	if config.Quarantined == nil {
		config.Quarantined = func(uint64) bool { return false }
	}
	if config.KeySuspended == nil {
		config.KeySuspended = func(string) bool { return false }
	}
	if config.Draining == nil {
		config.Draining = func() bool { return false }
	}
	if config.StopPlan == nil {
		config.StopPlan = func() *StopPlan { return nil }
	}
	g := &Gateway{Config: config, metrics: newGatewayMetrics(config.Registry), connections: newConnections(), uploads: bytebudget.New(config.UploadBytes)}
	app := fiber.New(fiber.Config{
		CaseSensitive:                true,
		StrictRouting:                true,
		BodyLimit:                    config.BodyBytes,
		ReadBufferSize:               config.HeaderBytes,
		ReadTimeout:                  config.ReadTimeout,
		WriteTimeout:                 responseWriteTimeout,
		IdleTimeout:                  idleTimeout,
		DisablePreParseMultipartForm: true,
		StreamRequestBody:            true,
		DisableDefaultContentType:    true,
		ErrorHandler:                 g.routerError,
		// The bounded listener refuses connections with a problem document. The
		// server's own limit answers in plain text and must not be reached first.
		Concurrency: 2 * config.MaxConnections,
	})
	app.Get(entryHostsPath, g.entryHosts)
	router := app.Handler()

	g.server = app.Server()
	g.server.Handler = func(ctx *fasthttp.RequestCtx) { g.serve(ctx, router) }
	g.server.ErrorHandler = g.parseError
	g.server.ConnState = trackPhase
	g.server.SecureErrorLogMessage = true
	return g
}

// Serve answers callers on a listener until Shutdown, after which it returns nil.
func (g *Gateway) Serve(listener net.Listener) error {
	bounded := &boundedListener{Listener: listener, open: g.connections, maxOpen: g.MaxConnections, refusal: g.overloadedResponse()}
	g.metrics.registerGauges(func() int64 { return int64(g.connections.count()) }, g.uploads.Used)
	if err := g.listen(bounded); err != nil {
		return err
	}
	return g.server.Serve(bounded)
}

// leaseValid reports whether the host's lease allows it to serve keyed traffic.
func (g *Gateway) leaseValid() bool {
	return g.Clock.Now().Instant < g.Lease.ValidUntil()
}
