package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/catkinspring/catkinspring/keys"
)

// arrival is one scheduled request.
type arrival struct {
	at       time.Duration
	customer *Customer
	stream   *Stream
	key      keys.Key
	number   int
	client   int
}

// target returns the path and query of the request. It is unique in a run, so the
// payload, which derives from it, identifies the response.
func (a *arrival) target(runID string) string {
	return a.stream.Path + "/" + runID + "-" + a.stream.Name + "-" + strconv.Itoa(a.number) +
		"?size=" + strconv.Itoa(a.stream.ResponseBytes)
}

// schedule returns the arrivals of all streams in order of time. The gaps of a
// stream are exponentially distributed, so its arrivals are a Poisson process. Each
// stream has its own random source, so adding a stream does not change the others.
func schedule(s *Scenario) ([]arrival, error) {
	var all []arrival
	for i := range s.Customers {
		c := &s.Customers[i]
		for k := range c.Streams {
			stream := &c.Streams[k]
			key, err := readKey(c, stream)
			if err != nil {
				return nil, err
			}
			if !stream.keyed() {
				key = keys.Key{}
			}
			for _, at := range arrivals(uint64(s.Seed), stream) {
				at.customer, at.key = c, key
				at.client %= len(c.Clients)
				all = append(all, at)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all, nil
}

func arrivals(seed uint64, stream *Stream) []arrival {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(stream.Name)))
	var list []arrival
	begin := time.Duration(0)
	for _, rate := range stream.Rates {
		end := begin + rate.For
		for at := begin; rate.PerSecond > 0; {
			at += time.Duration(random.ExpFloat64() / rate.PerSecond * float64(time.Second))
			if at >= end {
				break
			}
			list = append(list, arrival{at: at, stream: stream, number: len(list), client: random.IntN(1 << 30)})
		}
		begin = end
	}
	return list
}

// newIdempotencyKey returns a UUIDv7. Its timestamp lets an entry host distinguish new
// operations from ones whose records it may have dropped.
func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }
