package gateway

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/lookup"
	"github.com/catkinspring/catkinspring/requestlog"
	"github.com/catkinspring/catkinspring/traffic"
)

// The bounds of the callers' interface.
const (
	// MaxHeaderBytes is the default bound of the request line and header together.
	MaxHeaderBytes = 16 << 10
	// MaxBodyBytes is the default bound of the body, whatever the route allows.
	MaxBodyBytes = 8 << 20
	// unauthenticatedBodyBytes bounds the body of a request that is going to be
	// refused, so that callers without a key can't fill the memory.
	unauthenticatedBodyBytes = 64 << 10
	// RequestReadTimeout bounds the time to receive a request.
	RequestReadTimeout = 10 * time.Second
	// responseWriteTimeout bounds the time to send a response to a slow caller.
	responseWriteTimeout = 30 * time.Second
	// idleTimeout closes caller connections without requests.
	idleTimeout = 60 * time.Second
	// DefaultMaxConnections bounds the callers' connections.
	DefaultMaxConnections = 4096
	// DefaultTimeout bounds requests of routes that set no bound.
	DefaultTimeout = 30 * time.Second
)

// Dispatcher runs a request at an upstream. Its errors are *problem.Error. It
// calls request.LastCheck immediately before the first byte of each attempt is
// written.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *dispatch.Request, into *fasthttp.Response) error
}

// Config holds what a Gateway needs. All functions may be called concurrently.
type Config struct {
	// Snapshot returns the configuration; nil before the first.
	Snapshot func() *configuration.Snapshot
	// View returns the membership view; nil before the first.
	View func() *fleet.View
	// Regions returns the client blocks of the configuration; nil means none.
	RegionTable   func() *lookup.Table
	LookupBuilder *lookup.Builder
	Lease         traffic.Lease
	Clock         traffic.Clock
	Limiter       traffic.Limiter
	Claimer       traffic.Claimer

	Dispatcher Dispatcher
	// Quarantined reports whether requests with a fingerprint are refused. This
	// and the next two may be nil, which means never.
	Quarantined func(fingerprint uint64) bool
	// KeySuspended reports whether a key id may be about to be withdrawn.
	KeySuspended func(keyID string) bool
	// Draining is true once the host serves no new requests. A host that is
	// leaving, but serves callers with cached answers, is not draining yet.
	Draining func() bool

	// MaxConnections bounds the callers' connections; 0 means the default.
	MaxConnections int
	// HeaderBytes bounds the request line and header; 0 means MaxHeaderBytes.
	HeaderBytes int
	// BodyBytes bounds the body on every route; 0 means MaxBodyBytes.
	BodyBytes int
	// ReadTimeout bounds the time to receive a request; 0 means
	// RequestReadTimeout.
	ReadTimeout time.Duration
	// Requests takes finished requests; nil means that nobody does.
	Requests requestlog.Recorder
	// Registry takes the metrics; nil means the process's default one.
	Registry metrics.Registry
	Logger   zerolog.Logger
}

// Gateway serves callers.
type Gateway struct {
	Config
	server  *fasthttp.Server
	metrics *gatewayMetrics
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.MaxConnections <= 0 {
		config.MaxConnections = DefaultMaxConnections
	}
	if config.HeaderBytes <= 0 {
		config.HeaderBytes = MaxHeaderBytes
	}
	if config.BodyBytes <= 0 {
		config.BodyBytes = MaxBodyBytes
	}
	if config.ReadTimeout <= 0 {
		config.ReadTimeout = RequestReadTimeout
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
	g := &Gateway{Config: config, metrics: newGatewayMetrics(config.Registry)}
	app := fiber.New(fiber.Config{
		CaseSensitive:                true,
		StrictRouting:                true,
		BodyLimit:                    config.BodyBytes,
		ReadBufferSize:               config.HeaderBytes,
		ReadTimeout:                  config.ReadTimeout,
		WriteTimeout:                 responseWriteTimeout,
		IdleTimeout:                  idleTimeout,
		DisablePreParseMultipartForm: true,
		DisableDefaultContentType:    true,
		ErrorHandler:                 g.routerError,
		// The bounded listener refuses connections with a problem document; the
		// server's own bound, which answers in plain text, must not come first.
		Concurrency: 2 * config.MaxConnections,
	})
	app.Get(entryHostsPath, g.entryHosts)
	own := app.Handler()

	g.server = app.Server()
	g.server.Handler = func(ctx *fasthttp.RequestCtx) { g.serve(ctx, own) }
	g.server.ErrorHandler = g.parseError
	g.server.HeaderReceived = g.headerReceived
	g.server.SecureErrorLogMessage = true
	g.server.CloseOnShutdown = true
	return g
}

// Serve answers callers on a listener until Shutdown. It returns nil after that.
func (g *Gateway) Serve(listener net.Listener) error {
	bounded := newBoundedListener(listener, g.MaxConnections, g.overloadedResponse())
	g.metrics.watchConnections(bounded.open.Load)
	return g.server.Serve(bounded)
}

// Shutdown stops accepting connections, closes idle ones and waits until
// running requests have been answered or the context ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	return g.server.ShutdownWithContext(ctx)
}

// leaseValid reports whether the host may serve keyed traffic now.
func (g *Gateway) leaseValid() bool {
	return g.Clock.Now().Instant < g.Lease.ValidUntil()
}
