package configuration

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// headTimeout bounds the wait for a head from a peer.
	headTimeout = 300 * time.Millisecond
	// shardTimeout bounds the wait for a shard before another source is tried. A
	// shard that arrives later is still used.
	shardTimeout = 400 * time.Millisecond
	// stallTimeout is the time without a new shard after which a pull has stalled. It
	// may then be replaced by the pull of another head that isn't newer.
	stallTimeout = 500 * time.Millisecond
	// maxFetches bounds the shards that are fetched concurrently.
	maxFetches = 16
	// startupHeadRequests bounds the peers that receive a HeadRequest per try while
	// the host has no configuration.
	startupHeadRequests = 3
	// peerRevisionTTL is how long a reported revision of a host remains valid. It is
	// twice the longest time between heartbeats (T/8 at T = 60 s).
	peerRevisionTTL = 15 * time.Second
	// peerExpiryInterval is the time between checks for expired revisions.
	peerExpiryInterval = time.Second
	// storeReadEvery is the number of tries per read of the head from the store, in
	// addition to the request to a peer.
	storeReadEvery = 3
)

// peerRevision is the revision that a host last reported.
type peerRevision struct {
	revision fleet.Revision
	lastSeen machine.Instant
}

// headSearch is the state of the requests for the head of a newer revision.
type headSearch struct {
	tries int
	next  machine.Instant
}

// pull is the state of fetching the shards of a newer head.
type pull struct {
	head *Head
	raw  []byte
	// from is the host that sent the head; empty if it came from the store.
	from    fleet.HostID
	missing []*fetch
	// progress is when the pull began or the last shard arrived.
	progress machine.Instant
}

// stalled reports whether no shard arrived for stallTimeout. The missing shards may
// be lost, because the store was restored in the meantime.
func (p *pull) stalled(now machine.Instant) bool {
	return now.Sub(p.progress) > stallTimeout
}

// fetch is the state of fetching one shard.
type fetch struct {
	digest Digest
	tries  int
	// source is the host of the last request; empty if only the store was read.
	source fleet.HostID
	// pending is true while a request awaits its answer or timeout.
	pending bool
	timeout machine.Instant
	retryAt machine.Instant
}

// recordPeerRevision records the revision that a host reported.
func (m *Machine) recordPeerRevision(host fleet.HostID, revision fleet.Revision) {
	if host == m.self.Host {
		return
	}
	if revision > m.targetRevision() {
		m.search = headSearch{}
	}
	// A lower revision neither replaces nor refreshes a higher one: the message may
	// be delayed, or the host may have been replaced, and then the entry expires.
	if revision >= m.peers[host].revision {
		m.peers[host] = peerRevision{revision: revision, lastSeen: m.now.Instant}
		m.highest = max(m.highest, revision)
	}
}

// expirePeers drops revisions that were not reported within peerRevisionTTL, so
// that the host doesn't wait for a revision that was lost with its only holder.
func (m *Machine) expirePeers() {
	if m.now.Instant < m.nextPeerExpiry {
		return
	}
	m.nextPeerExpiry = m.now.Instant.Add(peerExpiryInterval)
	maps.DeleteFunc(m.peers, func(_ fleet.HostID, h peerRevision) bool {
		return m.now.Instant.Sub(h.lastSeen) > peerRevisionTTL
	})
	m.highest = 0
	for _, h := range m.peers {
		m.highest = max(m.highest, h.revision)
	}
}

// targetRevision returns the highest revision reported by a peer.
func (m *Machine) targetRevision() fleet.Revision { return m.highest }

// requestHead requests the head from a few members while this host has none.
func (m *Machine) requestHead() {
	others := m.others()
	for i := range min(startupHeadRequests, len(others)) {
		m.send(others[(m.search.tries*startupHeadRequests+i)%len(others)].Host, HeadRequest{})
	}
	m.search.tries++
}

// advancePull fetches missing shards and requests a newer head if a peer has one. It
// runs in every call of Step.
func (m *Machine) advancePull() {
	reached := m.Revision()
	if m.pull != nil {
		m.fetchMissing()
	}
	if m.pull != nil && !m.pull.stalled(m.now.Instant) {
		reached = max(reached, m.pullRevision())
	}
	if m.targetRevision() <= reached || m.now.Instant < m.search.next {
		return
	}
	m.search.next = m.now.Instant.Add(headTimeout)
	hosts := m.hostsWith(reached + 1)
	m.send(hosts[m.search.tries%len(hosts)], HeadRequest{})
	if m.search.tries%storeReadEvery == storeReadEvery-1 {
		m.refreshHead()
	}
	m.search.tries++
}

func (m *Machine) pullRevision() fleet.Revision {
	if m.pull == nil {
		return 0
	}
	return m.pull.head.Revision
}

func (m *Machine) receiveHead(from fleet.Member, answer HeadAnswer) {
	if len(answer.Head) == 0 || len(answer.Head) > maxMessageBytes {
		return
	}
	head, err := decodeHead(answer.Head)
	if err != nil {
		m.event(EventMalformed, headName, "from %s: %v", from.Host, err)
		return
	}
	m.recordPeerRevision(from.Host, head.Revision)
	if head.Revision > m.Revision() {
		m.startPull(head, answer.Head, from.Host)
	}
}

// startPull starts fetching the shards of a head, unless the current pull continues.
func (m *Machine) startPull(head *Head, raw []byte, from fleet.HostID) {
	if m.pull != nil && !m.replaces(m.pull, head, raw, from) {
		return
	}
	m.pull = &pull{head: head, raw: raw, from: from, progress: m.now.Instant}
	for _, digest := range head.Shards {
		if !m.hasShard(digest) {
			m.pull.missing = append(m.pull.missing, &fetch{digest: digest})
		}
	}
	m.finishPull()
}

// replaces reports whether a head replaces the one that is being pulled. A head
// that isn't newer does so only if the pull has stalled: the store may have been
// restored, and the shards of the pulled head lost.
func (m *Machine) replaces(p *pull, head *Head, raw []byte, from fleet.HostID) bool {
	switch {
	case head.Revision > p.head.Revision:
		return true
	case !p.stalled(m.now.Instant):
		return false
	case head.Revision == p.head.Revision:
		return !bytes.Equal(raw, p.raw)
	default:
		return from == "" && m.targetRevision() < p.head.Revision
	}
}

func (m *Machine) hasShard(digest Digest) bool {
	if _, ok := m.shards[digest]; ok {
		return true
	}
	_, ok := m.fetched[digest]
	return ok
}

// fetchMissing requests missing shards: first from the source of the head, then
// from peers that have the revision. Every second try also reads the store.
func (m *Machine) fetchMissing() {
	pending := 0
	requests := map[fleet.HostID][]Digest{}
	var order []fleet.HostID
	for _, f := range m.pull.missing {
		if f.pending && m.now.Instant >= f.timeout {
			f.recordFailure(m.now.Instant)
		}
		if f.pending {
			pending++
			continue
		}
		if pending >= maxFetches || m.now.Instant < f.retryAt {
			continue
		}
		pending++
		f.pending, f.timeout = true, m.now.Instant.Add(shardTimeout)
		host := m.chooseSource(f)
		if host == "" || f.tries%2 == 1 {
			m.fetchFromStore(f)
		}
		if host == "" {
			continue
		}
		if len(requests[host]) == 0 {
			order = append(order, host)
		}
		requests[host] = append(requests[host], f.digest)
	}
	for _, host := range order {
		m.requestShards(host, requests[host])
	}
}

func (m *Machine) requestShards(host fleet.HostID, digests []Digest) {
	for len(digests) > 0 {
		n := min(len(digests), maxShardsPerRequest)
		m.send(host, ShardRequest{Digests: digests[:n]})
		digests = digests[n:]
	}
}

// chooseSource selects the host of the next request for a shard: first the source of
// the head, then each host that has the revision. It returns an empty host if the
// shard can be read only from the store.
func (m *Machine) chooseSource(f *fetch) fleet.HostID {
	f.source = m.nextSource(f)
	return f.source
}

func (m *Machine) nextSource(f *fetch) fleet.HostID {
	if f.tries == 0 {
		return m.pull.from
	}
	hosts := m.hostsWith(m.pull.head.Revision)
	if len(hosts) == 0 {
		return ""
	}
	return hosts[(slices.Index(hosts, f.source)+1)%len(hosts)]
}

func (m *Machine) fetchFromStore(f *fetch) {
	tries := f.tries
	m.callStore(machine.StoreCall{Op: machine.StoreGet, Key: f.digest.key()}, func(result machine.StoreResult) {
		switch {
		case result.Outcome == machine.StoreOK:
			m.acceptShard(f.digest, result.Value)
		case f.tries == tries && f.source == "":
			f.recordFailure(m.now.Instant)
		}
	})
}

// recordFailure ends a failed try. Every second failure is followed by a backoff, so
// that a shard that exists nowhere isn't requested continuously.
func (f *fetch) recordFailure(now machine.Instant) {
	f.pending = false
	f.tries++
	if f.tries%2 == 0 {
		f.retryAt = now.Add(retryInterval)
	}
}

func (m *Machine) answerShards(from fleet.Member, request ShardRequest) {
	for i, digest := range request.Digests {
		if i >= maxShardsPerRequest {
			return
		}
		answer := ShardAnswer{Digest: digest}
		if part, held := m.shards[digest]; held {
			answer.Content = part.encode()
		}
		m.send(from.Host, answer)
	}
}

func (m *Machine) receiveShard(answer ShardAnswer) {
	if len(answer.Content) > 0 && len(answer.Content) <= maxMessageBytes {
		m.acceptShard(answer.Digest, answer.Content)
		return
	}
	if f := m.findFetch(answer.Digest); f != nil && f.pending {
		f.recordFailure(m.now.Instant)
	}
}

func (m *Machine) findFetch(digest Digest) *fetch {
	if m.pull == nil {
		return nil
	}
	for _, f := range m.pull.missing {
		if f.digest == digest {
			return f
		}
	}
	return nil
}

// acceptShard verifies a received shard and keeps it if the pull needs it.
func (m *Machine) acceptShard(digest Digest, raw []byte) {
	f := m.findFetch(digest)
	if f == nil {
		return
	}
	part, err := decodeShard(digest, raw)
	if err != nil {
		m.event(EventMalformed, digest.String(), "%v", err)
		f.recordFailure(m.now.Instant)
		return
	}
	m.fetched[digest] = part
	missing := m.pull.missing[:0:0]
	for _, other := range m.pull.missing {
		if other != f {
			missing = append(missing, other)
		}
	}
	m.pull.missing = missing
	m.pull.progress = m.now.Instant
	m.finishPull()
}

// finishPull puts the revision in force once all shards have been fetched.
func (m *Machine) finishPull() {
	p := m.pull
	if len(p.missing) > 0 {
		return
	}
	parts := make(shards, len(p.head.Shards))
	for _, digest := range p.head.Shards {
		part, held := m.shards[digest]
		if !held {
			part = m.fetched[digest]
		}
		parts[digest] = part
	}
	m.pull = nil
	snapshot, parts := joinShards(p.head, parts)
	m.adopt(p.head, p.raw, snapshot, parts)
	if p.from != "" && m.lastRead.head.Revision < p.head.Revision && m.now.Instant.Sub(m.lastRead.started) < pollInterval {
		// A recent read of the store did not show this revision: either it is new, or
		// the store has lost it.
		m.startFastPolling(retryInterval)
	}
}
