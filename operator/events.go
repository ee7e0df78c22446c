package operator

import (
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/timeline"
)

// MaxEvents bounds the events of one response.
const MaxEvents = 10_000

// Events is the response to GET /v1/timeline.
type Events struct {
	Host fleet.HostID `json:"host"`
	// Events are the newest matching events, oldest first.
	Events []timeline.Event `json:"events"`
	// Next is the cursor for the next request.
	Next string `json:"next"`
}

// cursorSeparator separates the sequence numbers of a cursor, one for each ring of
// the host.
const cursorSeparator = "."

func (s *Server) events(c fiber.Ctx) error {
	filter, limit, err := eventFilter(c)
	if err != nil {
		return err
	}
	after, err := s.cursor(c.Query("after"))
	if err != nil {
		return err
	}
	var perRing [][]timeline.Event
	next := make([]string, 0, len(s.Rings))
	for i, ring := range s.Rings {
		filter.AfterSequence = after[i]
		events, newest := ring.Last(filter, limit)
		perRing = append(perRing, events)
		next = append(next, strconv.FormatUint(newest, 10))
	}
	events := timeline.Merge(perRing...)
	if len(events) > limit {
		events = events[len(events)-limit:]
	}
	if events == nil {
		events = []timeline.Event{}
	}
	return c.JSON(Events{Host: s.Status().Host, Events: events, Next: strings.Join(next, cursorSeparator)})
}

func (s *Server) cursor(text string) ([]uint64, error) {
	after := make([]uint64, len(s.Rings))
	if text == "" {
		return after, nil
	}
	numbers := strings.Split(text, cursorSeparator)
	if len(numbers) != len(after) {
		return nil, &QueryError{Parameter: "after", Want: "a cursor of an earlier answer"}
	}
	for i, number := range numbers {
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, &QueryError{Parameter: "after", Want: "a cursor of an earlier answer"}
		}
		after[i] = n
	}
	return after, nil
}

func eventFilter(c fiber.Ctx) (timeline.Filter, int, error) {
	filter := timeline.Filter{
		Kind:     c.Query("kind"),
		Customer: fleet.Customer(c.Query("customer")),
		Request:  c.Query("request"),
		Subject:  c.Query("subject"),
	}
	limit, err := queryNumber(c, "limit", MaxEvents, MaxEvents)
	if err != nil {
		return filter, 0, err
	}
	if limit < 1 {
		return filter, 0, &QueryError{Parameter: "limit", Want: "a number from 1 to " + strconv.Itoa(MaxEvents)}
	}
	const maxMillis = 1 << 53
	if filter.FromMillis, err = queryNumber(c, "from", 0, maxMillis); err != nil {
		return filter, 0, err
	}
	filter.ToMillis, err = queryNumber(c, "to", 0, maxMillis)
	return filter, int(limit), err
}

func queryNumber(c fiber.Ctx, name string, fallback, limit int64) (int64, error) {
	text := c.Query(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, &QueryError{Parameter: name, Want: "a number from 0 to " + strconv.FormatInt(limit, 10)}
	}
	return n, nil
}
