package load

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/fleet"
)

// runIDLength is the length of the random ID that makes targets unique to a run.
const runIDLength = 8

// Result holds the records of all requests of a run.
type Result struct {
	Start   time.Time
	Records []Record
	Lookups Lookups
}

// run is the state of a run.
type run struct {
	scenario *Scenario
	id       string
	clients  *clients
	callers  map[callerID]*caller
	lookups  Lookups
	inFlight atomic.Int64
}

type callerID struct {
	customer fleet.Customer
	client   netip.Addr
}

// Run sends the load of a scenario and returns when every request has ended. It
// returns *settings.SecretError or *KeyError if a key can't be read. When the
// context ends, no further request is sent and requests in flight are abandoned.
func Run(ctx context.Context, s *Scenario) (*Result, error) {
	list, err := schedule(s)
	if err != nil {
		return nil, err
	}
	r := &run{
		scenario: s,
		id:       uuid.NewString()[:runIDLength],
		clients:  &clients{hosts: map[netip.AddrPort]*fasthttp.HostClient{}},
		callers:  map[callerID]*caller{},
	}
	r.addCallers()
	defer r.clients.close()
	result := &Result{Start: time.Now(), Records: make([]Record, len(list))}
	sent := r.sendAll(ctx, list, result)
	result.Records = result.Records[:sent]
	result.Lookups = r.lookups
	return result, nil
}

// addCallers creates the callers. Each starts its lookups at a random entry host.
func (r *run) addCallers() {
	random := rand.New(rand.NewPCG(uint64(r.scenario.Seed), 0))
	for i := range r.scenario.Customers {
		c := &r.scenario.Customers[i]
		for _, client := range c.Clients {
			added := &caller{run: r, client: client, routes: map[fleet.Route]*cachedAnswer{}}
			added.nextHost.Store(random.Uint32())
			r.callers[callerID{c.ID, client}] = added
		}
	}
}

// sendAll starts each request at its intended time, whether or not earlier ones have
// ended, and returns the number of requests that were due before the context ended.
func (r *run) sendAll(ctx context.Context, list []arrival, result *Result) int {
	var group conc.WaitGroup
	defer group.Wait()
	for i := range list {
		sleep(ctx, time.Until(result.Start.Add(list[i].at)))
		if ctx.Err() != nil {
			return i
		}
		record := &result.Records[i]
		r.fillRecord(record, &list[i], result.Start)
		if r.inFlight.Load() >= int64(r.scenario.MaxInFlight) {
			record.Verdict, record.End = NotSent, time.Now()
			continue
		}
		r.inFlight.Add(1)
		group.Go(func() {
			defer r.inFlight.Add(-1)
			r.sendOne(ctx, &list[i], record)
		})
	}
	return len(list)
}

func (r *run) fillRecord(record *Record, a *arrival, start time.Time) {
	record.Customer, record.Stream, record.Route = a.customer.ID, a.stream.Name, a.stream.Route
	record.Keyed, record.Target, record.Intended = a.stream.keyed(), a.target(r.id), start.Add(a.at)
	if !a.key.IsZero() {
		record.KeyID = a.key.ID()
	}
	if a.stream.atMostOnce() {
		record.OperationKey = newIdempotencyKey()
	}
}

func (r *run) sendOne(ctx context.Context, a *arrival, record *Record) {
	ctx, cancel := context.WithDeadline(ctx, record.Intended.Add(r.scenario.RequestTimeout))
	defer cancel()
	s := &sender{
		run: r, arrival: a, record: record, body: requestBody(record.Target, a.stream.BodyBytes),
		caller: r.callers[callerID{a.customer.ID, a.customer.Clients[a.client]}],
	}
	record.BodyHash = bodyHash(s.body)
	s.send(ctx)
}

// bodyFillers caches random bytes by body size. Each request's body starts with its
// target, so that bodies differ.
var bodyFillers sync.Map

func requestBody(target string, size int) []byte {
	if size == 0 {
		return nil
	}
	filler, ok := bodyFillers.Load(size)
	if !ok {
		filler, _ = bodyFillers.LoadOrStore(size, newFiller(size))
	}
	body := append([]byte(nil), filler.([]byte)...)
	copy(body, target)
	return body
}

func newFiller(size int) []byte {
	random := rand.New(rand.NewPCG(uint64(size), 0))
	filler := make([]byte, size)
	for i := range filler {
		filler[i] = byte(random.Uint32())
	}
	return filler
}
