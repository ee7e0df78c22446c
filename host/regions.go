package host

import (
	"context"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/lookup"
)

// regionTable builds the lookup table of client blocks on its own goroutine,
// because 1.6 million blocks take more than a second, which would block the
// control loop.
type regionTable struct {
	cache   lookup.Cache
	pending chan []configuration.ClientBlock
}

func (r *regionTable) init() {
	r.pending = make(chan []configuration.ClientBlock, 1)
}

// update requests a rebuild with new blocks. It replaces blocks that are still
// pending, so the last ones win. Only the control loop may call it.
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
