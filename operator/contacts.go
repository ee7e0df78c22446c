package operator

import (
	"maps"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// contactNumber is the wire number of Contact; see docs/design.md, section 2.
	contactNumber = 740
	// contactInterval is the time between Contact messages to a member whose
	// address is known.
	contactInterval = 10 * time.Second
	// requestInterval is the time between Contact messages to a member whose address
	// is not known. The first messages are lost, because hosts discover each other
	// before they have a connection.
	requestInterval = time.Second
)

// Contact carries the operators' address of the sender.
type Contact struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	// Ask is true if the sender does not know the receiver's address.
	Ask bool `cbor:"2,keyasint,omitempty"`
}

// MessageNumber returns the wire number.
func (Contact) MessageNumber() uint16 { return contactNumber }

// Messages returns the message types of this package.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Contact]()}
}

// ContactsChanged is the output with all known operators' addresses of members.
// The map is not modified after it is sent.
type ContactsChanged struct {
	Addresses map[fleet.HostID]netip.AddrPort
}

// MachineOutput marks ContactsChanged as an output.
func (ContactsChanged) MachineOutput() {}

// Contacts is the state machine that distributes the operators' addresses within a
// cell, because neither the roster nor the platform's host list contains them.
type Contacts struct {
	self    fleet.Member
	address netip.AddrPort
	view    *fleet.View
	known   map[fleet.HostID]netip.AddrPort
	// sent is when the last Contact was sent to each member.
	sent map[fleet.Member]machine.Instant
}

var _ machine.Machine = (*Contacts)(nil)

// NewContacts returns the state machine of a host with the given operators' address.
func NewContacts(self fleet.Member, address netip.AddrPort) *Contacts {
	return &Contacts{
		self: self, address: address, view: &fleet.View{},
		known: map[fleet.HostID]netip.AddrPort{self.Host: address},
		sent:  map[fleet.Member]machine.Instant{},
	}
}

// Step applies one input.
func (c *Contacts) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.Tick:
		return c.sendContacts(now.Instant)
	case machine.ViewChanged:
		return c.changeView(in.View)
	case machine.Received:
		if message, ok := in.Message.(Contact); ok {
			return c.receive(in.From.Host, message)
		}
	}
	return nil
}

func (c *Contacts) sendContacts(now machine.Instant) []machine.Output {
	var out []machine.Output
	for i := range c.view.Members {
		member := c.view.Members[i].Member
		interval := contactInterval
		_, known := c.known[member.Host]
		if !known {
			interval = requestInterval
		}
		last, sent := c.sent[member]
		if member.Host == c.self.Host || sent && now.Sub(last) < interval {
			continue
		}
		c.sent[member] = now
		out = append(out, machine.Send{To: member.Host, Message: Contact{Address: c.address, Ask: !known}})
	}
	return out
}

// changeView removes hosts that are no longer members.
func (c *Contacts) changeView(view *fleet.View) []machine.Output {
	c.view = view
	before := len(c.known)
	maps.DeleteFunc(c.known, func(id fleet.HostID, _ netip.AddrPort) bool {
		return id != c.self.Host && view.Find(id) == nil
	})
	maps.DeleteFunc(c.sent, func(member fleet.Member, _ machine.Instant) bool {
		current := view.Find(member.Host)
		return current == nil || current.Member != member
	})
	if len(c.known) == before {
		return nil
	}
	return []machine.Output{c.changed()}
}

func (c *Contacts) receive(from fleet.HostID, message Contact) []machine.Output {
	var out []machine.Output
	if message.Ask {
		out = append(out, machine.Send{To: from, Message: Contact{Address: c.address}})
	}
	isMember := c.view.Find(from) != nil || len(c.view.Members) == 0
	if isMember && message.Address.IsValid() && c.known[from] != message.Address {
		c.known[from] = message.Address
		out = append(out, c.changed())
	}
	return out
}

func (c *Contacts) changed() machine.Output {
	return ContactsChanged{Addresses: maps.Clone(c.known)}
}
