package host

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/store"
)

// notesTimeout bounds the read of the configuration head for an operator. After
// a timeout the cached head is returned.
const notesTimeout = 2 * time.Second

// cacheHead caches the last configuration head that was read from or written to
// the store, so that accepted notes can be listed while the store is unreachable.
func (h *Host) cacheHead(call machine.StoreCall, result machine.StoreResult) {
	if call.Key != configuration.HeadKey || result.Outcome != machine.StoreOK {
		return
	}
	value := result.Value
	if call.Op != machine.StoreGet {
		value = call.Value
	}
	h.state.head.Store(&value)
}

// acceptedNotes returns the accepted notes in the configuration head, from the
// store or, while that is unreachable, from the cached head.
func (h *Host) acceptedNotes(ctx context.Context) (operator.Notes, error) {
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	object, err := h.objects.Get(ctx, configuration.HeadKey)
	var missing *store.NotFoundError
	if err == nil || errors.As(err, &missing) {
		return decodeNotes(object.Value, false)
	}
	if last := h.state.head.Load(); last != nil {
		return decodeNotes(*last, true)
	}
	return operator.Notes{}, eris.Wrap(err, "accepted notes")
}

func decodeNotes(raw []byte, stale bool) (operator.Notes, error) {
	notes := operator.Notes{Stale: stale, Notes: []configuration.AcceptedNote{}}
	if len(raw) == 0 {
		return notes, nil
	}
	var head configuration.Head
	if err := cbor.Unmarshal(raw, &head); err != nil {
		return notes, eris.Wrap(err, "head of the configuration")
	}
	notes.Revision = head.Revision
	notes.Notes = append(notes.Notes, head.Notes...)
	return notes, nil
}

func logLevel() string { return zerolog.GlobalLevel().String() }

// LogLevelError reports an unknown log level.
type LogLevelError struct {
	Level string
}

func (e *LogLevelError) Error() string { return "log level " + e.Level + " does not exist" }

// setLogLevel sets the minimum level that the process logs.
func (h *Host) setLogLevel(text string) error {
	switch text {
	case "debug", "info", "warn", "error":
	default:
		return &LogLevelError{Level: text}
	}
	level, err := zerolog.ParseLevel(text)
	if err != nil {
		return eris.Wrap(err, "log level")
	}
	before := zerolog.GlobalLevel()
	zerolog.SetGlobalLevel(level)
	if before != level {
		h.log.WithLevel(zerolog.NoLevel).Str("from", before.String()).Str("to", text).Msg("log level changed")
		h.record(h.clock.Now(), machine.Event{Kind: "log.level", Text: "log level changed from " + before.String() + " to " + text})
	}
	return nil
}
