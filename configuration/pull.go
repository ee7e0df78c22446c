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
	// headTimeout is how long a host waits for a head from a peer.
	headTimeout = 300 * time.Millisecond
	// shardTimeout is how long a host waits for a shard before it asks elsewhere.
	// A shard that arrives later is still taken.
	shardTimeout = 400 * time.Millisecond
	// stallTimeout is the time without a shard after which a pull accepts another
	// head of the same revision.
	stallTimeout = 500 * time.Millisecond
	// maxFetches bounds the shards that are fetched at a time.
	maxFetches = 16
	// askedAtStart bounds the peers that are asked in one try at the start.
	askedAtStart = 3
	// peerMemory is how long the revision of a host counts after it was last
	// heard. It is twice the longest time between heartbeats (T/8 at T = 60 s).
	peerMemory = 15 * time.Second
	// forgetInterval is the time between two looks for such hosts.
	forgetInterval = time.Second
	// storeEvery is the number of tries after which the store is asked for the
	// head beside a peer.
	storeEvery = 3
)

// heardRevision is what a host was heard to have.
type heardRevision struct {
	revision fleet.Revision
	at       machine.Instant
}

// headSearch is the search for the head of a revision that peers have.
type headSearch struct {
	tries int
	next  machine.Instant
}

// pull fetches the shards of a head that is newer than the current one.
type pull struct {
	head *Head
	raw  []byte
	// from is the host that sent the head; empty if it came from the store.
	from    fleet.HostID
	missing []*fetch
	// progress is when the pull began or the last shard arrived.
	progress machine.Instant
}

// stalled reports whether the pull may wait for shards that are gone, because
// the store was restored in between.
func (p *pull) stalled(now machine.Instant) bool {
	return now.Sub(p.progress) > stallTimeout
}

// fetch is the search for one shard.
type fetch struct {
	digest Digest
	tries  int
	// asked is the host that was asked last; empty for the store alone.
	asked fleet.HostID
	// waiting is true while a request is open, until the timeout.
	waiting bool
	timeout machine.Instant
	retryAt machine.Instant
}

// heard notes the revision of a host.
func (m *Machine) heard(host fleet.HostID, revision fleet.Revision) {
	if host == m.self.Host {
		return
	}
	if revision > m.wanted() {
		m.search = headSearch{}
	}
	// A lower revision neither replaces nor refreshes a higher one: it may be
	// late, or the host may have been replaced, and then the entry expires.
	if revision >= m.peers[host].revision {
		m.peers[host] = heardRevision{revision: revision, at: m.now.Instant}
		m.highest = max(m.highest, revision)
	}
}

// forgetPeers drops hosts that were not heard of for a while, so that a
// revision that was lost with its only holder isn't waited for.
func (m *Machine) forgetPeers() {
	if m.now.Instant < m.nextForget {
		return
	}
	m.nextForget = m.now.Instant.Add(forgetInterval)
	maps.DeleteFunc(m.peers, func(_ fleet.HostID, h heardRevision) bool {
		return m.now.Instant.Sub(h.at) > peerMemory
	})
	m.highest = 0
	for _, h := range m.peers {
		m.highest = max(m.highest, h.revision)
	}
}

// wanted returns the highest revision that a peer was heard to have.
func (m *Machine) wanted() fleet.Revision { return m.highest }

// askForHead asks a few members for their head while this host has none.
func (m *Machine) askForHead() {
	others := m.others()
	for i := range min(askedAtStart, len(others)) {
		m.send(others[(m.search.tries*askedAtStart+i)%len(others)].Host, HeadRequest{})
	}
	m.search.tries++
}

// advancePull does what can be done now to catch up. It runs in every step.
func (m *Machine) advancePull() {
	reached := m.Revision()
	if m.pull != nil {
		m.fetchMissing()
	}
	if m.pull != nil && !m.pull.stalled(m.now.Instant) {
		reached = max(reached, m.pullRevision())
	}
	if m.wanted() <= reached || m.now.Instant < m.search.next {
		return
	}
	m.search.next = m.now.Instant.Add(headTimeout)
	hosts := m.hostsWith(reached + 1)
	m.send(hosts[m.search.tries%len(hosts)], HeadRequest{})
	if m.search.tries%storeEvery == storeEvery-1 {
		m.readForChange()
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
	if len(answer.Head) == 0 || len(answer.Head) > maxShardMessage {
		return
	}
	head, err := decodeHead(answer.Head)
	if err != nil {
		m.event(EventMalformed, headName, "from %s: %v", from.Host, err)
		return
	}
	m.heard(from.Host, head.Revision)
	if head.Revision > m.Revision() {
		m.startPull(head, answer.Head, from.Host)
	}
}

// startPull begins to fetch the shards of a head, or goes on with an equal one.
func (m *Machine) startPull(head *Head, raw []byte, from fleet.HostID) {
	if m.pull != nil && !m.replaces(m.pull, head, raw, from) {
		return
	}
	m.pull = &pull{head: head, raw: raw, from: from, progress: m.now.Instant}
	for _, digest := range head.Shards {
		if !m.holds(digest) {
			m.pull.missing = append(m.pull.missing, &fetch{digest: digest})
		}
	}
	m.finishPull()
}

// replaces reports whether a head takes the place of the one that is pulled. A
// head that isn't newer does so only if the pull stalls: the store may have been
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
		return from == "" && m.wanted() < p.head.Revision
	}
}

func (m *Machine) holds(digest Digest) bool {
	if _, ok := m.shards[digest]; ok {
		return true
	}
	_, ok := m.fetched[digest]
	return ok
}

// fetchMissing asks for shards: first where the head came from, then at peers
// that have the revision, and at every second try at the store as well.
func (m *Machine) fetchMissing() {
	waiting := 0
	requests := map[fleet.HostID][]Digest{}
	var order []fleet.HostID
	for _, f := range m.pull.missing {
		if f.waiting && m.now.Instant >= f.timeout {
			f.failed(m.now.Instant)
		}
		if f.waiting {
			waiting++
			continue
		}
		if waiting >= maxFetches || m.now.Instant < f.retryAt {
			continue
		}
		waiting++
		f.waiting, f.timeout = true, m.now.Instant.Add(shardTimeout)
		host := m.source(f)
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

// source returns the host to ask next for a shard, or none for the store alone:
// first where the head came from, then each host that has the revision in turn.
func (m *Machine) source(f *fetch) fleet.HostID {
	f.asked = m.nextSource(f)
	return f.asked
}

func (m *Machine) nextSource(f *fetch) fleet.HostID {
	if f.tries == 0 {
		return m.pull.from
	}
	hosts := m.hostsWith(m.pull.head.Revision)
	if len(hosts) == 0 {
		return ""
	}
	return hosts[(slices.Index(hosts, f.asked)+1)%len(hosts)]
}

func (m *Machine) fetchFromStore(f *fetch) {
	tries := f.tries
	m.store(machine.StoreCall{Op: machine.StoreGet, Key: f.digest.key()}, func(result machine.StoreResult) {
		switch {
		case result.Outcome == machine.StoreOK:
			m.takeShard(f.digest, result.Value)
		case f.tries == tries && f.asked == "":
			f.failed(m.now.Instant)
		}
	})
}

// failed ends a try. Every second one is followed by a pause, so that a shard
// that is nowhere isn't asked for all the time.
func (f *fetch) failed(now machine.Instant) {
	f.waiting = false
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
	if len(answer.Content) > 0 && len(answer.Content) <= maxShardMessage {
		m.takeShard(answer.Digest, answer.Content)
		return
	}
	if f := m.findFetch(answer.Digest); f != nil && f.waiting {
		f.failed(m.now.Instant)
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

// takeShard keeps a shard that the pull needs.
func (m *Machine) takeShard(digest Digest, raw []byte) {
	f := m.findFetch(digest)
	if f == nil {
		return
	}
	part, err := decodeShard(digest, raw)
	if err != nil {
		m.event(EventMalformed, digest.String(), "%v", err)
		f.failed(m.now.Instant)
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

// finishPull puts the revision in force once all shards are there.
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
		// The store was seen a moment ago without this revision: it is either new,
		// or was lost there.
		m.readAgainSoon(retryInterval)
	}
}
