package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/timeline"
)

const (
	// applyTimeout bounds the wait until a note is accepted or refused.
	applyTimeout = 30 * time.Second
	// idleTimeout is the time after which connections without requests are closed.
	idleTimeout  = 60 * time.Second
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	// maxConnections bounds the connections of operators, scrapers and probes.
	maxConnections     = 256
	metricsContentType = "text/plain; version=0.0.4; charset=utf-8"
)

// Paths of the interface that need the credential.
const (
	PathNotes         = "/v1/notes"
	PathCheck         = "/v1/notes/check"
	PathConfiguration = "/v1/configuration"
	PathAlertRules    = "/v1/alert-rules"
	PathStatus        = "/v1/status"
	PathTimeline      = "/v1/timeline"
	PathLogLevel      = "/v1/log-level"
)

// Config configures a Server. All functions must be safe for concurrent use.
type Config struct {
	// Credential is the operators' bearer token.
	Credential string
	// Ready returns nil if the host serves requests, else the reason why not.
	Ready func() error
	// Apply submits a note and returns the decision on it.
	Apply func(ctx context.Context, note *configuration.Note) (configuration.NoteResult, error)
	// Snapshot returns the configuration in force; nil if there is none yet.
	Snapshot func() *configuration.Snapshot
	// Notes returns the accepted notes.
	Notes func(ctx context.Context) (Notes, error)
	// Status returns the state of the host and its view of the cell.
	Status func() Status
	// Rings hold the host's timeline. They share one clock.
	Rings []*timeline.Ring
	// Metrics returns the metrics in the text exposition format.
	Metrics func() []byte
	// Level returns the lowest level that is logged. SetLevel changes it and returns
	// an error for an unknown level.
	Level    func() string
	SetLevel func(level string) error
}

// Server serves the operators' HTTP interface.
type Server struct {
	Config
	digest [sha256.Size]byte
	app    *fiber.App
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{Config: config, digest: sha256.Sum256([]byte(config.Credential))}
	app := fiber.New(fiber.Config{
		BodyLimit:    configuration.MaxNoteSize,
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
		IdleTimeout:  idleTimeout,
		Concurrency:  maxConnections,
		ErrorHandler: writeError,
	})
	app.Use(recoverPanic)
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("live\n") })
	app.Get("/readyz", s.ready)
	app.Get("/metrics", s.metrics)
	v1 := app.Group("/v1", s.authenticate)
	v1.Post("/notes", s.apply)
	v1.Post("/notes/check", s.check)
	v1.Get("/notes", s.notes)
	v1.Get("/notes/:id", s.note)
	v1.Get("/configuration", s.configuration)
	v1.Get("/alert-rules", s.alertRules)
	v1.Get("/status", func(c fiber.Ctx) error { return c.JSON(s.Status()) })
	v1.Get("/timeline", s.events)
	v1.Get("/log-level", func(c fiber.Ctx) error { return c.JSON(LogLevel{Level: s.Level()}) })
	v1.Put("/log-level", s.setLevel)
	s.app = app
	return s
}

// recoverPanic turns a panic into a failure of the current request only.
func recoverPanic(c fiber.Ctx) (err error) {
	defer func() {
		if recover() != nil {
			err = fiber.NewError(fiber.StatusInternalServerError, "the request failed inside the entry host")
		}
	}()
	return c.Next()
}

// Serve accepts connections until Shutdown is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting connections and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

// authenticate compares digests in constant time, so that the response time reveals
// neither the token nor its length.
func (s *Server) authenticate(c fiber.Ctx) error {
	const prefix = "Bearer "
	header := c.Get(fiber.HeaderAuthorization)
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return &CredentialError{}
	}
	digest := sha256.Sum256([]byte(header[len(prefix):]))
	if s.Credential == "" || subtle.ConstantTimeCompare(digest[:], s.digest[:]) != 1 {
		return &CredentialError{}
	}
	return c.Next()
}

func (s *Server) ready(c fiber.Ctx) error {
	if err := s.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(keys.Redact(err.Error()) + "\n")
	}
	return c.SendString("ready\n")
}

func (s *Server) metrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, metricsContentType)
	return c.Send(s.Metrics())
}

// LogLevel is the response to GET and the body of PUT /v1/log-level.
type LogLevel struct {
	Level string `json:"level"`
}

func (s *Server) setLevel(c fiber.Ctx) error {
	var body LogLevel
	if err := c.Bind().JSON(&body); err != nil {
		return &QueryError{Parameter: "level", Want: `given as {"level": "info"}`}
	}
	if err := s.SetLevel(body.Level); err != nil {
		return &QueryError{Parameter: "level", Want: "debug, info, warn or error"}
	}
	return c.JSON(LogLevel{Level: s.Level()})
}
