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
	// applyTimeout bounds the wait for the decision on a note.
	applyTimeout = 30 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout  = 60 * time.Second
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	// maxConnections bounds the connections of operators, scrapers and checks.
	maxConnections     = 256
	metricsContentType = "text/plain; version=0.0.4; charset=utf-8"
)

// The paths of the interface.
const (
	PathNotes         = "/v1/notes"
	PathCheck         = "/v1/notes/check"
	PathConfiguration = "/v1/configuration"
	PathAlertRules    = "/v1/alert-rules"
	PathStatus        = "/v1/status"
	PathTimeline      = "/v1/timeline"
	PathLogLevel      = "/v1/log-level"
)

// Config holds what the server needs. All functions may be called concurrently.
type Config struct {
	// Credential is the operators' bearer token.
	Credential string
	// Ready returns nil if the host serves, else the reason why not.
	Ready func() error
	// Apply asks for a note to be accepted.
	Apply func(ctx context.Context, note *configuration.Note) (configuration.NoteResult, error)
	// Snapshot returns the configuration in force; nil before the first.
	Snapshot func() *configuration.Snapshot
	// Notes returns the accepted notes.
	Notes func(ctx context.Context) (Notes, error)
	// Status describes the host and what it knows of its cell.
	Status func() Status
	// Rings hold the host's time line. They share one clock.
	Rings []*timeline.Ring
	// Metrics returns the metrics in the text exposition format.
	Metrics func() []byte
	// Level returns the lowest level that is logged, SetLevel changes it. SetLevel
	// returns an error for an unknown level.
	Level    func() string
	SetLevel func(level string) error
}

// Server serves operators.
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

// recoverPanic turns a panic into a failure of this request alone.
func recoverPanic(c fiber.Ctx) (err error) {
	defer func() {
		if recover() != nil {
			err = fiber.NewError(fiber.StatusInternalServerError, "the request failed inside the entry host")
		}
	}()
	return c.Next()
}

// Serve answers operators until Shutdown. It returns nil after that.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting connections and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

// authenticate compares digests in constant time, so that the time of a refusal
// tells neither the token nor its length.
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

// LogLevel is the answer of GET and the body of PUT /v1/log-level.
type LogLevel struct {
	Level string `json:"level"`
}

func (s *Server) setLevel(c fiber.Ctx) error {
	var wanted LogLevel
	if err := c.Bind().JSON(&wanted); err != nil {
		return &QueryError{Parameter: "level", Want: `given as {"level": "info"}`}
	}
	if err := s.SetLevel(wanted.Level); err != nil {
		return &QueryError{Parameter: "level", Want: "debug, info, warn or error"}
	}
	return c.JSON(LogLevel{Level: s.Level()})
}
