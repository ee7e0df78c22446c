package host

import (
	"context"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/lookup"
)

// regionTable builds the table of client blocks on a goroutine of its own,
// because 1.6 million blocks take more than a second and the control loop must
// go on meanwhile.
type regionTable struct {
	cache   lookup.Cache
	pending chan []configuration.ClientBlock
}

func (r *regionTable) init() {
	r.pending = make(chan []configuration.ClientBlock, 1)
}

// update asks for the table of new blocks. Blocks that wait are replaced, so the
// last ones win. Only the control loop calls it.
func (r *regionTable) update(blocks []configuration.ClientBlock) {
	select {
	case <-r.pending:
	default:
	}
	r.pending <- blocks
}

func (r *regionTable) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case blocks := <-r.pending:
			r.cache.Update(blocks)
		}
	}
}
