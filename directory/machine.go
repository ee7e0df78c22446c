package directory

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/store"
)

const (
	// ReadInterval is the time between two reads by the reader.
	ReadInterval = time.Second
	// currentInterval is the time between two Current messages by the reader.
	currentInterval = 2 * time.Second
	// UpdateTimeout is the time without an update after which a host reads the list
	// itself. It tolerates one lost Current message.
	UpdateTimeout = 5 * time.Second
	// readTimeout is the time after which a read without a result is repeated.
	readTimeout = 10 * time.Second
)

// Machine is the state machine of one host.
type Machine struct {
	self fleet.HostID
	view *fleet.View

	known       bool
	asOf        int64 // Unix milliseconds
	digest      uint64
	hosts       []store.ListedHost
	reading     bool
	readStarted machine.Instant
	nextRead    machine.Instant
	nextCurrent machine.Instant
	lastUpdate  machine.Instant
}

// NewMachine returns the machine of a host that has no list yet.
func NewMachine(self fleet.HostID) *Machine {
	return &Machine{self: self, view: &fleet.View{}}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.Tick:
		return m.tick(now.Instant)
	case machine.ViewChanged:
		m.view = in.View
	case machine.Received:
		return m.receive(now.Instant, in.From.Host, in.Message)
	case ListRead:
		return m.handleListRead(now.Instant, in)
	}
	return nil
}

// reader returns the member that reads the list: the reachable active one with
// the lowest id. During a network partition each side has a reader.
func (m *Machine) reader() fleet.HostID {
	for i := range m.view.Members {
		member := &m.view.Members[i]
		if member.State == fleet.StateActive && (member.Reachable || member.Host == m.self) {
			return member.Host
		}
	}
	return m.self
}

func (m *Machine) tick(now machine.Instant) []machine.Output {
	shouldRead := m.reader() == m.self || m.lastUpdate == 0 || now.Sub(m.lastUpdate) >= UpdateTimeout
	var outputs []machine.Output
	if shouldRead && now >= m.nextRead && (!m.reading || now.Sub(m.readStarted) >= readTimeout) {
		m.reading = true
		m.readStarted = now
		m.nextRead = now.Add(ReadInterval)
		outputs = append(outputs, ReadList{})
	}
	if m.known && m.reader() == m.self && now >= m.nextCurrent {
		m.nextCurrent = now.Add(currentInterval)
		outputs = append(outputs, m.broadcast(Current{AsOfMillis: m.asOf, Digest: m.digest})...)
	}
	return outputs
}

func (m *Machine) handleListRead(now machine.Instant, in ListRead) []machine.Output {
	m.reading = false
	if !in.OK {
		return nil
	}
	hosts := slices.Clone(in.List.Hosts)
	outputs, changed := m.adopt(now, in.List.AsOf.UnixMilli(), hosts)
	if changed && m.reader() == m.self {
		outputs = append(outputs, m.broadcast(m.message())...)
	}
	return outputs
}

// adopt applies a list unless a newer one is known. It reports whether the list
// changed.
func (m *Machine) adopt(now machine.Instant, asOf int64, hosts []store.ListedHost) ([]machine.Output, bool) {
	if m.known && asOf < m.asOf {
		return nil, false
	}
	m.lastUpdate = now
	m.asOf = asOf
	slices.SortFunc(hosts, func(a, b store.ListedHost) int { return cmp.Compare(a.Name, b.Name) })
	digest := digestOf(hosts)
	if m.known && digest == m.digest {
		return []machine.Output{Confirmed{}}, false
	}
	m.known = true
	m.digest = digest
	m.hosts = hosts
	return []machine.Output{Changed{Hosts: hosts}}, true
}

func (m *Machine) receive(now machine.Instant, from fleet.HostID, message machine.Message) []machine.Output {
	switch message := message.(type) {
	case List:
		hosts := make([]store.ListedHost, 0, len(message.Entries))
		for _, entry := range message.Entries {
			hosts = append(hosts, entry.listed())
		}
		outputs, _ := m.adopt(now, message.AsOfMillis, hosts)
		return outputs
	case Current:
		return m.handleCurrent(now, from, message)
	case Request:
		if m.known {
			return []machine.Output{machine.Send{To: from, Message: m.message()}}
		}
	}
	return nil
}

func (m *Machine) handleCurrent(now machine.Instant, from fleet.HostID, message Current) []machine.Output {
	if m.known && message.AsOfMillis < m.asOf {
		return nil
	}
	if !m.known || message.Digest != m.digest {
		return []machine.Output{machine.Send{To: from, Message: Request{}}}
	}
	m.asOf = message.AsOfMillis
	m.lastUpdate = now
	return []machine.Output{Confirmed{}}
}

// message returns the known list as a message.
func (m *Machine) message() List {
	list := List{AsOfMillis: m.asOf, Digest: m.digest, Entries: make([]Entry, 0, len(m.hosts))}
	for _, h := range m.hosts {
		list.Entries = append(list.Entries, entryOf(h))
	}
	return list
}

func (m *Machine) broadcast(message machine.Message) []machine.Output {
	var outputs []machine.Output
	for i := range m.view.Members {
		if id := m.view.Members[i].Host; id != m.self {
			outputs = append(outputs, machine.Send{To: id, Message: message})
		}
	}
	return outputs
}

func entryOf(h store.ListedHost) Entry {
	return Entry{
		Name:          h.Name,
		Role:          h.Role,
		Pool:          h.Pool,
		Address:       h.Address,
		PeerAddress:   h.PeerAddress,
		Region:        h.Region,
		FailureDomain: h.FailureDomain,
		Slots:         h.Slots,
		State:         h.State,
	}
}

func (e Entry) listed() store.ListedHost {
	return store.ListedHost{
		Name:          e.Name,
		Role:          e.Role,
		Pool:          e.Pool,
		Address:       e.Address,
		PeerAddress:   e.PeerAddress,
		Region:        e.Region,
		FailureDomain: e.FailureDomain,
		Slots:         e.Slots,
		State:         e.State,
	}
}

// digestOf hashes a sorted list. Separators keep adjacent fields distinct.
func digestOf(hosts []store.ListedHost) uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := range hosts {
		h := &hosts[i]
		for _, field := range []string{h.Name, string(h.Role), string(h.Pool), h.Address.String(), h.PeerAddress.String(),
			string(h.Region), string(h.FailureDomain), string(h.State)} {
			_, _ = d.WriteString(field)
			_, _ = d.Write([]byte{0})
		}
		var slots [8]byte
		binary.LittleEndian.PutUint64(slots[:], uint64(h.Slots))
		_, _ = d.Write(slots[:])
	}
	return d.Sum64()
}
