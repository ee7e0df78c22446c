package configuration

import (
	"slices"

	"github.com/catkinspring/catkinspring/machine"
)

// maxShardWrites bounds the shards that one writer has in flight.
const maxShardWrites = 8

// shardWriter writes shards to the store until all are there. A shard that
// exists is complete, because its name is the digest of its content.
type shardWriter struct {
	m        *Machine
	shards   shards
	left     []Digest
	inFlight int
	paused   machine.Instant
}

// newShardWriter starts to write shards.
func (m *Machine) newShardWriter(digests []Digest, parts shards) *shardWriter {
	w := &shardWriter{m: m, shards: parts, left: slices.Clone(digests)}
	m.writers = append(m.writers, w)
	w.pump()
	return w
}

// done reports whether all shards are in the store.
func (w *shardWriter) done() bool { return len(w.left) == 0 && w.inFlight == 0 }

// stop drops the shards that aren't written yet.
func (w *shardWriter) stop() {
	w.left = nil
	w.m.writers = slices.DeleteFunc(w.m.writers, func(other *shardWriter) bool { return other == w })
}

func (w *shardWriter) pump() {
	if w.m.now.Instant < w.paused {
		return
	}
	for len(w.left) > 0 && w.inFlight < maxShardWrites {
		digest := w.left[0]
		w.left = w.left[1:]
		w.write(digest)
	}
}

func (w *shardWriter) write(digest Digest) {
	w.inFlight++
	part := w.shards[digest]
	call := machine.StoreCall{Op: machine.StoreCreate, Key: digest.key(), Value: part.encode()}
	w.m.store(call, func(result machine.StoreResult) {
		w.inFlight--
		if result.Outcome != machine.StoreOK && result.Outcome != machine.StoreConflict {
			// Writing it again is harmless, so a lost answer is a failure as well.
			w.left = append(w.left, digest)
			w.paused = w.m.now.Instant.Add(retryInterval)
		}
		w.pump()
	})
}
