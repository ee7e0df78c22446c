package configuration

import (
	"net/netip"
	"slices"
)

// blockEdit is the change of one client block by a note.
type blockEdit struct {
	path   string
	action Action
	block  ClientBlock
}

func (a *applier) blockEdits() []blockEdit {
	var edits []blockEdit
	for i, prefix := range a.note.Withdrawn.ClientBlocks {
		edits = append(edits, blockEdit{index("withdrawn.clientBlocks", i), ActionWithdrawn, ClientBlock{Prefix: prefix}})
	}
	for i, b := range a.note.Changed.ClientBlocks {
		edits = append(edits, blockEdit{index("changed.clientBlocks", i), ActionChanged, b})
	}
	for i, b := range a.note.Added.ClientBlocks {
		edits = append(edits, blockEdit{index("added.clientBlocks", i), ActionAdded, b})
	}
	slices.SortStableFunc(edits, func(x, y blockEdit) int { return compareBlocks(x.block, y.block) })
	return edits
}

func compareBlocks(x, y ClientBlock) int { return x.Prefix.Compare(y.Prefix) }

// editBlocks returns the sorted client blocks after the note. They are by far the
// largest part of a configuration, so the blocks between two edits are copied in
// bulk.
func (a *applier) editBlocks() []ClientBlock {
	edits := a.blockEdits()
	if len(edits) == 0 {
		return a.base.Blocks
	}
	rest := a.base.Blocks
	next := make([]ClientBlock, 0, len(rest)+len(a.note.Added.ClientBlocks))
	for _, e := range edits {
		pos, exists := slices.BinarySearchFunc(rest, e.block.Prefix, func(b ClientBlock, p netip.Prefix) int { return b.Prefix.Compare(p) })
		next = append(next, rest[:pos]...)
		rest = rest[pos:]
		item := Item{KindClientBlock, e.block.Prefix.String()}
		switch {
		case e.action == ActionAdded && exists:
			a.fail(e.path, item, wantNew)
		case e.action != ActionAdded && !exists:
			a.fail(e.path, item, wantExisting)
		}
		if exists {
			rest = rest[1:]
		}
		if e.action != ActionWithdrawn {
			next = append(next, e.block)
		}
	}
	return append(next, rest...)
}

// diffBlocks returns the differences between two sorted lists.
func diffBlocks(from, to []ClientBlock) []Change {
	var changes []Change
	add := func(b ClientBlock, action Action, detail string) {
		changes = append(changes, Change{Item: Item{KindClientBlock, b.Prefix.String()}, Action: action, Detail: detail})
	}
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		case from[0] != to[0]:
			order = compareBlocks(from[0], to[0])
		}
		switch {
		case order < 0:
			add(from[0], ActionWithdrawn, "")
			from = from[1:]
		case order > 0:
			add(to[0], ActionAdded, "")
			to = to[1:]
		default:
			if from[0] != to[0] {
				add(to[0], ActionChanged, fieldDiff(from[0], to[0]))
			}
			from, to = from[1:], to[1:]
		}
	}
	return changes
}
