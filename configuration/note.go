package configuration

import (
	"fmt"
	"math"
	"net/netip"
	"path"
	"regexp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/jsonc"
)

// Limits of a release note.
const (
	// MaxNoteSize bounds the text of a note, in bytes; about 17,000 client blocks
	// fit. Checking a note needs several times its size in memory.
	MaxNoteSize = 1 << 20
	// MaxWithdrawnKeys bounds the keys withdrawn by one note, so that the
	// announcement stays below 32 KiB.
	MaxWithdrawnKeys   = 1024
	maxKeys            = 64
	maxRouteUsers      = 256
	maxPathPrefixBytes = 256
	maxBodyBytes       = 8 << 20
	maxTimeoutMillis   = 600_000
	maxCapMbit         = 1e6
	maxRate            = 1e7
	maxWeight          = 1000
	// entryHostsPath is answered by the entry hosts themselves and can't be routed.
	entryHostsPath = "/v1/entry-hosts"
)

const (
	wantName   = "must be 1 to 63 lower-case letters, digits and hyphens"
	wantKeyID  = "must be 16 lower-case hexadecimal digits"
	wantDigest = "must be the SHA-256 of the key, 64 lower-case hexadecimal digits"
)

var (
	noteIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	keyIDPattern  = regexp.MustCompile(`^[0-9a-f]{16}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func index(path string, i int) string { return jsonc.Index(path, i) }

// positions returns the positions of a note's fields in its text.
type positions interface {
	Position(path string) (line, column int)
}

// ParseNote parses and validates a release note. Its errors are of type *NoteError
// and list every problem that can be found without the current configuration.
func ParseNote(text []byte) (*Note, error) {
	if len(text) > MaxNoteSize {
		return nil, &NoteError{Problems: []Problem{{Line: 1, Column: 1, Want: fmt.Sprintf("must have at most %d bytes", MaxNoteSize)}}}
	}
	n := &Note{}
	c := &noteChecker{doc: jsonc.Decode(text, n)}
	c.check(n)
	if problems := c.doc.Problems(); len(problems) > 0 {
		return nil, &NoteError{NoteID: n.ID, Problems: problems}
	}
	n.positions = c.doc
	return n, nil
}

// noteChecker validates the fields of a note that could be decoded.
type noteChecker struct {
	doc *jsonc.Document
}

func (c *noteChecker) require(ok bool, path, want string) {
	if !ok && !c.doc.Failed(path) {
		c.doc.Fail(path, want)
	}
}

func (c *noteChecker) check(n *Note) {
	c.require(noteIDPattern.MatchString(n.ID), "id", "must be 1 to 64 letters, digits, dots, underscores and hyphens")
	for i := range n.Added.Routes {
		c.route(index("added.routes", i), &n.Added.Routes[i])
	}
	for i := range n.Changed.Routes {
		c.route(index("changed.routes", i), &n.Changed.Routes[i])
	}
	for i, added := range n.Added.Customers {
		field := index("added.customers", i)
		c.limits(field, CustomerLimits{ID: added.ID, Rate: added.Rate, Burst: added.Burst, Weight: added.Weight})
		c.require(len(added.Keys) <= maxKeys, field+".keys", fmt.Sprintf("must have at most %d keys", maxKeys))
		for k, key := range added.Keys {
			c.key(index(field+".keys", k), key.ID, key.Digest)
		}
	}
	for i, changed := range n.Changed.Customers {
		c.limits(index("changed.customers", i), changed)
	}
	for i, key := range n.Added.Keys {
		field := index("added.keys", i)
		c.require(namePattern.MatchString(string(key.Customer)), field+".customer", wantName)
		c.key(field, key.ID, key.Digest)
	}
	c.blocks("added.clientBlocks", n.Added.ClientBlocks)
	c.blocks("changed.clientBlocks", n.Changed.ClientBlocks)
	for i, line := range n.Added.AlertRules {
		c.alertRule(index("added.alertRules", i), line)
	}
	c.withdrawn(&n.Withdrawn)
	c.items(n)
}

func (c *noteChecker) withdrawn(w *Withdrawn) {
	for i, name := range w.Routes {
		c.require(namePattern.MatchString(string(name)), index("withdrawn.routes", i), wantName)
	}
	for i, id := range w.Customers {
		c.require(namePattern.MatchString(string(id)), index("withdrawn.customers", i), wantName)
	}
	for i, id := range w.Keys {
		c.require(keyIDPattern.MatchString(id), index("withdrawn.keys", i), wantKeyID)
	}
	for i, prefix := range w.ClientBlocks {
		c.prefix(index("withdrawn.clientBlocks", i), prefix)
	}
}

func (c *noteChecker) route(field string, r *Route) {
	c.require(namePattern.MatchString(string(r.Name)), field+".name", wantName)
	clean := len(r.PathPrefix) <= maxPathPrefixBytes && len(r.PathPrefix) > 0 && r.PathPrefix[0] == '/' &&
		(path.Clean(r.PathPrefix) == r.PathPrefix || path.Clean(r.PathPrefix)+"/" == r.PathPrefix)
	c.require(clean, field+".pathPrefix", fmt.Sprintf(`must be a path of at most %d bytes that starts with "/", without empty, "." and ".." parts`, maxPathPrefixBytes))
	c.require(!matchesPrefix(r.PathPrefix, entryHostsPath), field+".pathPrefix", "must not be "+entryHostsPath+", which every host serves itself")
	c.require(namePattern.MatchString(string(r.Pool)), field+".pool", wantName)
	c.require(r.Access == AccessOpen || r.Access == AccessKeyed, field+".access", `must be "open" or "keyed"`)
	c.require(len(r.Customers) == 0 || r.Access != AccessOpen, field+".customers", "must be left out on an open route")
	c.require(len(r.Customers) <= maxRouteUsers, field+".customers", fmt.Sprintf("must have at most %d customers", maxRouteUsers))
	for i, id := range r.Customers {
		c.require(namePattern.MatchString(string(id)), index(field+".customers", i), wantName)
	}
	c.require(r.Semantics == SemanticsIdempotent || r.Semantics == SemanticsAtMostOnce, field+".semantics", `must be "idempotent" or "at-most-once"`)
	c.require(r.Semantics != SemanticsAtMostOnce || r.Access != AccessOpen, field+".semantics", `must be "idempotent" on an open route: operations belong to a customer`)
	c.require(r.MaxBodyBytes >= 0 && r.MaxBodyBytes <= maxBodyBytes, field+".maxBodyBytes", fmt.Sprintf("must be 0 to %d", maxBodyBytes))
	c.require(r.TimeoutMillis >= 1 && r.TimeoutMillis <= maxTimeoutMillis, field+".timeoutMillis", fmt.Sprintf("must be 1 to %d", maxTimeoutMillis))
	c.require(r.FirstByteTimeoutMillis >= 1 && r.FirstByteTimeoutMillis <= r.TimeoutMillis, field+".firstByteTimeoutMillis", "must be 1 to timeoutMillis")
	c.require(r.ShiftCapMbit >= 0 && r.ShiftCapMbit <= maxCapMbit, field+".shiftCapMbit", fmt.Sprintf("must be 0 to %.0f", maxCapMbit))
	c.require(r.ShiftSharePerSecond >= 0 && r.ShiftSharePerSecond <= 1, field+".shiftSharePerSecond", "must be 0 to 1")
}

func (c *noteChecker) limits(field string, l CustomerLimits) {
	c.require(namePattern.MatchString(string(l.ID)), field+".id", wantName)
	c.require(l.Rate > 0 && l.Rate <= maxRate && !math.IsNaN(l.Rate), field+".rate", fmt.Sprintf("must be above 0 and at most %.0f requests a second", maxRate))
	c.require(l.Burst >= 1 && l.Burst <= maxRate, field+".burst", fmt.Sprintf("must be 1 to %.0f requests", maxRate))
	c.require(l.Weight >= 1 && l.Weight <= maxWeight, field+".weight", fmt.Sprintf("must be 1 to %d", maxWeight))
}

func (c *noteChecker) key(field, id, digest string) {
	c.require(keyIDPattern.MatchString(id), field+".id", wantKeyID)
	c.require(digestPattern.MatchString(digest), field+".digest", wantDigest)
}

func (c *noteChecker) blocks(field string, blocks []ClientBlock) {
	for i, b := range blocks {
		c.prefix(index(field, i)+".prefix", b.Prefix)
		c.require(namePattern.MatchString(string(b.Region)), index(field, i)+".region", wantName)
	}
}

func (c *noteChecker) prefix(field string, p netip.Prefix) {
	c.require(p.IsValid(), field, `must be a block of addresses such as "192.0.2.0/24"`)
	c.require(!p.IsValid() || p.Masked() == p, field, "must not have bits set after the prefix; did you mean "+p.Masked().String())
	c.require(!p.Addr().Is4In6(), field, "must be an IPv4 block, not one mapped to IPv6")
}

func (c *noteChecker) alertRule(field, line string) {
	_, err := ParseAlertRule(line)
	if err == nil || c.doc.Failed(field) {
		return
	}
	if rule, ok := err.(*AlertRuleError); ok {
		c.doc.FailAt(field, rule.Column, rule.Want)
	}
}

// items checks for repeated items, an empty note and too many withdrawn keys.
func (c *noteChecker) items(n *Note) {
	seen := map[Item]string{}
	n.visit(func(field string, item Item) {
		if first, repeated := seen[item]; repeated {
			c.require(false, field, "is named twice in the note, first at "+first)
			return
		}
		seen[item] = field
	})
	c.require(len(seen) > 0, "", "must add, change or withdraw something")
	c.require(len(n.Withdrawn.Keys) <= MaxWithdrawnKeys, "withdrawn.keys", fmt.Sprintf("must have at most %d keys; split the note", MaxWithdrawnKeys))
}

// keysOf returns the ids of all keys of the given customers.
func keysOf(s *Snapshot, customers []fleet.Customer) []string {
	var ids []string
	for _, id := range customers {
		if c := s.Customer(id); c != nil {
			for _, key := range c.Keys {
				ids = append(ids, key.ID)
			}
		}
	}
	return ids
}
