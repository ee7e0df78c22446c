package operator

import (
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

// Applied is the response to POST /v1/notes.
type Applied struct {
	NoteID   string         `json:"noteId"`
	Revision fleet.Revision `json:"revision"`
	// Repeated is true if the note had already been accepted.
	Repeated bool                   `json:"repeated"`
	Changes  []configuration.Change `json:"changes,omitempty"`
}

// Checked is the response to POST /v1/notes/check.
type Checked struct {
	NoteID string `json:"noteId"`
	// Revision is the revision against which the note was checked.
	Revision fleet.Revision         `json:"revision"`
	Changes  []configuration.Change `json:"changes"`
}

// Notes is the response to GET /v1/notes.
type Notes struct {
	// Revision is the newest revision in the list.
	Revision fleet.Revision `json:"revision"`
	// Stale is true if the store could not be read and the list is the last one
	// that the host received.
	Stale bool `json:"stale"`
	// Notes are the last accepted notes, oldest first.
	Notes []configuration.AcceptedNote `json:"notes"`
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

// check applies a note to a copy of the configuration in force, without changing it.
func (s *Server) check(c fiber.Ctx) error {
	note, err := configuration.ParseNote(c.Body())
	if err != nil {
		return err
	}
	snapshot := s.Snapshot()
	if snapshot == nil {
		return &NotReadyError{}
	}
	next, err := configuration.Apply(snapshot, note)
	if err != nil {
		return err
	}
	changes := configuration.Diff(snapshot, next)
	return c.JSON(Checked{NoteID: note.ID, Revision: snapshot.Revision, Changes: changes})
}

func (s *Server) notes(c fiber.Ctx) error {
	notes, err := s.Notes(c.Context())
	if err != nil {
		return err
	}
	return c.JSON(notes)
}

func (s *Server) note(c fiber.Ctx) error {
	notes, err := s.Notes(c.Context())
	if err != nil {
		return err
	}
	for _, note := range notes.Notes {
		if note.ID == c.Params("id") {
			return c.JSON(note)
		}
	}
	return &NotFoundError{What: "no accepted note that is remembered has this id"}
}

// Configuration is the response to GET /v1/configuration. It contains no digests.
type Configuration struct {
	Revision     fleet.Revision              `json:"revision"`
	Routes       []configuration.Route       `json:"routes"`
	Customers    []Customer                  `json:"customers"`
	ClientBlocks []configuration.ClientBlock `json:"clientBlocks"`
	// ClientBlockCount counts all blocks; the list holds at most maxShownBlocks.
	ClientBlockCount int      `json:"clientBlockCount"`
	AlertRules       []string `json:"alertRules"`
}

// Customer is a customer with the IDs of its keys.
type Customer struct {
	ID     fleet.Customer `json:"id"`
	Keys   []string       `json:"keys"`
	Rate   float64        `json:"rate"`
	Burst  float64        `json:"burst"`
	Weight int            `json:"weight"`
}

// maxShownBlocks bounds the client blocks of one response: a fleet has up to 1.6
// million.
const maxShownBlocks = 10_000

func (s *Server) configuration(c fiber.Ctx) error {
	snapshot := s.Snapshot()
	if snapshot == nil {
		return &NotReadyError{}
	}
	response := Configuration{
		Revision: snapshot.Revision, Routes: snapshot.Routes, AlertRules: snapshot.AlertRules,
		ClientBlocks:     snapshot.Blocks[:min(len(snapshot.Blocks), maxShownBlocks)],
		ClientBlockCount: len(snapshot.Blocks),
	}
	for _, customer := range snapshot.Customers {
		entry := Customer{ID: customer.ID, Rate: customer.Rate, Burst: customer.Burst, Weight: customer.Weight}
		for _, key := range customer.Keys {
			entry.Keys = append(entry.Keys, key.ID)
		}
		response.Customers = append(response.Customers, entry)
	}
	return c.JSON(response)
}

// alertRules returns the rules, one line each, byte for byte as they were
// accepted.
func (s *Server) alertRules(c fiber.Ctx) error {
	snapshot := s.Snapshot()
	if snapshot == nil {
		return &NotReadyError{}
	}
	var text strings.Builder
	for _, line := range snapshot.AlertRules {
		text.WriteString(line + "\n")
	}
	return c.SendString(text.String())
}
