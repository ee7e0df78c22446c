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
	// contactInterval is the time between two Contact messages to a member whose
	// address is known.
	contactInterval = 10 * time.Second
	// askInterval is the time between two Contact messages to a member whose address
	// is not known. The first ones are lost, because hosts learn of each other
	// before they have a connection.
	askInterval = time.Second
)

// Contact tells the operators' address of the sender.
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

// ContactsChanged is the output with the operators' addresses of all members
// that are known. The map is not changed later.
type ContactsChanged struct {
	Addresses map[fleet.HostID]netip.AddrPort
}

// MachineOutput marks ContactsChanged as an output.
func (ContactsChanged) MachineOutput() {}

// Contacts is the state machine that spreads the operators' addresses over a
// cell, because neither the roster nor the platform's host list holds them.
type Contacts struct {
	self    fleet.Member
	address netip.AddrPort
	view    *fleet.View
	known   map[fleet.HostID]netip.AddrPort
	told    map[fleet.Member]machine.Instant
}

var _ machine.Machine = (*Contacts)(nil)

// NewContacts returns the machine of a host with an operators' address.
func NewContacts(self fleet.Member, address netip.AddrPort) *Contacts {
	return &Contacts{
		self: self, address: address, view: &fleet.View{},
		known: map[fleet.HostID]netip.AddrPort{self.Host: address},
		told:  map[fleet.Member]machine.Instant{},
	}
}

// Step applies one input.
func (c *Contacts) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.Tick:
		return c.tell(now.Instant)
	case machine.ViewChanged:
		return c.changeView(in.View)
	case machine.Received:
		if message, ok := in.Message.(Contact); ok {
			return c.receive(in.From.Host, message)
		}
	}
	return nil
}

func (c *Contacts) tell(now machine.Instant) []machine.Output {
	var out []machine.Output
	for i := range c.view.Members {
		member := c.view.Members[i].Member
		interval := contactInterval
		_, known := c.known[member.Host]
		if !known {
			interval = askInterval
		}
		last, told := c.told[member]
		if member.Host == c.self.Host || told && now.Sub(last) < interval {
			continue
		}
		c.told[member] = now
		out = append(out, machine.Send{To: member.Host, Message: Contact{Address: c.address, Ask: !known}})
	}
	return out
}

// changeView forgets hosts that are no longer members.
func (c *Contacts) changeView(view *fleet.View) []machine.Output {
	c.view = view
	before := len(c.known)
	maps.DeleteFunc(c.known, func(id fleet.HostID, _ netip.AddrPort) bool {
		return id != c.self.Host && view.Find(id) == nil
	})
	maps.DeleteFunc(c.told, func(member fleet.Member, _ machine.Instant) bool {
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
	member := c.view.Find(from) != nil || len(c.view.Members) == 0
	if member && message.Address.IsValid() && c.known[from] != message.Address {
		c.known[from] = message.Address
		out = append(out, c.changed())
	}
	return out
}

func (c *Contacts) changed() machine.Output {
	return ContactsChanged{Addresses: maps.Clone(c.known)}
}
