package configuration

import (
	"slices"

	"github.com/catkinspring/catkinspring/machine"
)

// maxShardWrites bounds the concurrent shard writes of one writer.
const maxShardWrites = 8

// shardWriter writes shards to the store and retries until all are stored. A shard
// that exists there is complete, because its name is the digest of its content.
type shardWriter struct {
	m         *Machine
	shards    shards
	remaining []Digest
	inFlight  int
	retryAt   machine.Instant
}

// newShardWriter starts writing the shards with the given digests.
func (m *Machine) newShardWriter(digests []Digest, parts shards) *shardWriter {
	w := &shardWriter{m: m, shards: parts, remaining: slices.Clone(digests)}
	m.writers = append(m.writers, w)
	w.startWrites()
	return w
}

// done reports whether all shards have been stored.
func (w *shardWriter) done() bool { return len(w.remaining) == 0 && w.inFlight == 0 }

// stop cancels the writes that have not been started.
func (w *shardWriter) stop() {
	w.remaining = nil
	w.m.writers = slices.DeleteFunc(w.m.writers, func(other *shardWriter) bool { return other == w })
}

func (w *shardWriter) startWrites() {
	if w.m.now.Instant < w.retryAt {
		return
	}
	for len(w.remaining) > 0 && w.inFlight < maxShardWrites {
		digest := w.remaining[0]
		w.remaining = w.remaining[1:]
		w.write(digest)
	}
}

func (w *shardWriter) write(digest Digest) {
	w.inFlight++
	part := w.shards[digest]
	call := machine.StoreCall{Op: machine.StoreCreate, Key: digest.key(), Value: part.encode()}
	w.m.callStore(call, func(result machine.StoreResult) {
		w.inFlight--
		if result.Outcome != machine.StoreOK && result.Outcome != machine.StoreConflict {
			// Writing a shard again is harmless, so a lost answer counts as a failure.
			w.remaining = append(w.remaining, digest)
			w.retryAt = w.m.now.Instant.Add(retryInterval)
		}
		w.startWrites()
	})
}
