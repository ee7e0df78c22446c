package gateway

import (
	"bytes"
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/keys"
)

const (
	metricsContentType = "text/plain; version=0.0.4; charset=utf-8"
	// operatorsTimeout bounds reading a request and writing a response.
	operatorsTimeout = 10 * time.Second
	// maxOperatorConnections bounds the connections of scrapers and checks.
	maxOperatorConnections = 64
)

// OperatorsConfig holds what the operators' interface needs.
type OperatorsConfig struct {
	// Ready returns why the host can't serve yet, or nil.
	Ready func() error
	// Registry is the source of the metrics; nil means the process's default one.
	Registry metrics.Registry
}

// Operators serves the operators' address: liveness, readiness and metrics.
type Operators struct {
	server *fasthttp.Server
}

// NewOperators returns the operators' interface.
func NewOperators(config OperatorsConfig) *Operators {
	if config.Registry == nil {
		config.Registry = metrics.DefaultRegistry
	}
	app := fiber.New(fiber.Config{
		ReadTimeout:  operatorsTimeout,
		WriteTimeout: operatorsTimeout,
		Concurrency:  maxOperatorConnections,
	})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if err := config.Ready(); err != nil {
			return c.Status(fiber.StatusServiceUnavailable).SendString(keys.Redact(err.Error()) + "\n")
		}
		return c.SendString("ok\n")
	})
	app.Get("/metrics", func(c fiber.Ctx) error {
		var text bytes.Buffer
		WriteMetrics(&text, config.Registry)
		c.Set(fiber.HeaderContentType, metricsContentType)
		return c.Send(text.Bytes())
	})
	handler := app.Handler()
	server := app.Server()
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if recover() != nil {
				ctx.Error("internal error", fasthttp.StatusInternalServerError)
			}
		}()
		handler(ctx)
	}
	return &Operators{server: server}
}

// Serve answers operators on a listener until Shutdown. It returns nil after
// that.
func (o *Operators) Serve(listener net.Listener) error {
	return o.server.Serve(listener)
}

// Shutdown stops accepting connections and waits for running requests or the
// end of the context.
func (o *Operators) Shutdown(ctx context.Context) error {
	return o.server.ShutdownWithContext(ctx)
}
