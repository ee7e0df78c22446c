package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/timeline"
)

const (
	// applyTimeout bounds the wait for the decision on a note.
	applyTimeout = 30 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 60 * time.Second
	readTimeout = 30 * time.Second
	// maxEvents bounds the events of one answer.
	maxEvents = 10_000
)

// Config holds what the server needs. All functions may be called concurrently.
type Config struct {
	// Credential is the operators' bearer token.
	Credential string
	// Ready returns nil if the host serves, else the reason why not.
	Ready func() error
	// Apply asks for a note to be accepted.
	Apply func(ctx context.Context, note *configuration.Note) (configuration.NoteResult, error)
	// Status describes the host and what it knows of its cell.
	Status func() Status
	// Events selects events of the host's time line.
	Events func(filter timeline.Filter, limit int) []timeline.Event
	// Metrics returns the metrics in the text exposition format.
	Metrics func() []byte
}

// Status is the answer of GET /v1/status.
type Status struct {
	Host          fleet.HostID       `json:"host"`
	Incarnation   fleet.Incarnation  `json:"incarnation"`
	Location      fleet.Location     `json:"location"`
	Version       string             `json:"version"`
	Ready         bool               `json:"ready"`
	NotReady      string             `json:"notReady,omitempty"`
	Draining      bool               `json:"draining"`
	LeaseMillis   int64              `json:"leaseMillis"`
	Revision      fleet.Revision     `json:"revision"`
	RosterVersion uint64             `json:"rosterVersion"`
	StoreOK       bool               `json:"storeReachable"`
	Members       []fleet.ViewMember `json:"members"`
	Partitions    int                `json:"partitionsOwned"`
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
		IdleTimeout:  idleTimeout,
		ErrorHandler: writeError,
	})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("live\n") })
	app.Get("/readyz", s.ready)
	app.Get("/metrics", s.metrics)
	v1 := app.Group("/v1", s.authenticate)
	v1.Post("/notes", s.apply)
	v1.Get("/status", func(c fiber.Ctx) error { return c.JSON(s.Status()) })
	v1.Get("/timeline", s.events)
	s.app = app
	return s
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
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (s *Server) metrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(s.Metrics())
}

// Applied is the answer of POST /v1/notes.
type Applied struct {
	NoteID   string                 `json:"noteId"`
	Revision fleet.Revision         `json:"revision"`
	Repeated bool                   `json:"repeated"`
	Changes  []configuration.Change `json:"changes,omitempty"`
}

func (s *Server) apply(c fiber.Ctx) error {
	note, err := configuration.ParseNote(c.Body())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), applyTimeout)
	defer cancel()
	result, err := s.Apply(ctx, note)
	if err != nil {
		return err
	}
	return c.JSON(Applied{NoteID: note.ID, Revision: result.Revision, Repeated: result.Repeated, Changes: result.Changes})
}

func (s *Server) events(c fiber.Ctx) error {
	filter := timeline.Filter{
		Kind:     c.Query("kind"),
		Customer: fleet.Customer(c.Query("customer")),
		Request:  c.Query("request"),
		Subject:  c.Query("subject"),
	}
	limit := maxEvents
	if text := c.Query("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxEvents {
			return &QueryError{Parameter: "limit", Want: "a number from 1 to 10000"}
		}
		limit = n
	}
	if text := c.Query("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return &QueryError{Parameter: "after", Want: "a sequence number"}
		}
		filter.AfterSequence = n
	}
	events := s.Events(filter, limit)
	if events == nil {
		events = []timeline.Event{}
	}
	return c.JSON(events)
}

// failure is the body of an answer that reports an error.
type failure struct {
	Error string `json:"error"`
	// Accepted is "no" or "unknown" for notes.
	Accepted string                  `json:"accepted,omitempty"`
	Problems []configuration.Problem `json:"problems,omitempty"`
}

func writeError(c fiber.Ctx, err error) error {
	status, body := describe(err)
	return c.Status(status).JSON(body)
}

// describe maps an error to a status. Every error on a note but
// *UndecidedError says that the note was not accepted.
func describe(err error) (int, failure) {
	var (
		credential *CredentialError
		query      *QueryError
		router     *fiber.Error
		note       *configuration.NoteError
		reused     *configuration.NoteReusedError
		raced      *configuration.RacedError
		undecided  *configuration.UndecidedError
	)
	switch {
	case errors.As(err, &credential):
		return fiber.StatusUnauthorized, failure{Error: err.Error()}
	case errors.As(err, &query):
		return fiber.StatusBadRequest, failure{Error: err.Error()}
	case errors.As(err, &router):
		return router.Code, failure{Error: router.Message}
	case errors.As(err, &note):
		return fiber.StatusUnprocessableEntity, failure{Error: err.Error(), Accepted: "no", Problems: note.Problems}
	case errors.As(err, &reused), errors.As(err, &raced):
		return fiber.StatusConflict, failure{Error: err.Error(), Accepted: "no"}
	case errors.As(err, &undecided), errors.Is(err, context.DeadlineExceeded):
		return fiber.StatusGatewayTimeout, failure{Error: err.Error(), Accepted: "unknown"}
	}
	return fiber.StatusServiceUnavailable, failure{Error: err.Error(), Accepted: "no"}
}

// CredentialError reports a missing or wrong operators' credential.
type CredentialError struct{}

func (*CredentialError) Error() string { return "operators' credential is missing or wrong" }

// QueryError reports a malformed query parameter.
type QueryError struct {
	Parameter string
	Want      string
}

func (e *QueryError) Error() string { return "query parameter " + e.Parameter + " must be " + e.Want }
