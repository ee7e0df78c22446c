package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

const watchInterval = 200 * time.Millisecond

// revisionMonitor polls the revision of all hosts and records every decrease.
type revisionMonitor struct {
	mu        sync.Mutex
	highest   map[fleet.Member]fleet.Revision
	decreases []string
}

// run polls until the context ends. Hosts that do not answer are skipped.
func (w *revisionMonitor) run(ctx context.Context, f *Fleet) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, h := range f.Hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			for Sleep(ctx, watchInterval) {
				if s, err := f.Status(ctx, h); err == nil {
					w.record(fleet.Member{Host: s.Host, Incarnation: s.Incarnation}, s.Revision)
				}
			}
		}()
	}
}

func (w *revisionMonitor) record(m fleet.Member, r fleet.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.highest == nil {
		w.highest = map[fleet.Member]fleet.Revision{}
	}
	if r < w.highest[m] {
		w.decreases = append(w.decreases, fmt.Sprintf("host %s went from revision %d to %d", m.Host, w.highest[m], r))
	}
	w.highest[m] = max(r, w.highest[m])
}
