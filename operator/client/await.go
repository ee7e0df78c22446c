package client

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// pollInterval is the time between two polls of the hosts.
const pollInterval = 250 * time.Millisecond

// Progress counts the hosts on which a revision is in force, and all live hosts.
type Progress struct {
	InForce, Hosts int
}

// AwaitRevision waits until a revision is in force on every live host, which is
// every member that is not being retired. It calls progress, which may be nil,
// when a count changes. It returns *NotInForceError when the context ends.
func (c *Client) AwaitRevision(ctx context.Context, want fleet.Revision, progress func(Progress)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := Progress{InForce: -1}
	behind := []Behind{{Reason: "no host was reached before the time was over"}}
	for {
		if cell, err := c.Cell(ctx); err == nil && ctx.Err() == nil {
			current := hostsBehind(cell, want)
			now := Progress{InForce: countLive(cell) - len(current), Hosts: countLive(cell)}
			if progress != nil && now != last {
				progress(now)
			}
			last, behind = now, current
			if len(behind) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{Revision: want, Behind: behind}
		case <-ticker.C:
		}
	}
}

func isLive(h *HostStatus) bool { return h.Peer.State != fleet.StateRetiring }

func countLive(cell Cell) int {
	count := 0
	for i := range cell.Hosts {
		if isLive(&cell.Hosts[i]) {
			count++
		}
	}
	return count
}

func hostsBehind(cell Cell, want fleet.Revision) []Behind {
	var behind []Behind
	for i := range cell.Hosts {
		h := &cell.Hosts[i]
		switch {
		case !isLive(h):
		case h.Err != nil:
			behind = append(behind, Behind{Host: h.Peer.Host, Reason: "not reached: " + h.Err.Error()})
		case h.Status.Revision < want:
			behind = append(behind, Behind{
				Host: h.Peer.Host, Revision: h.Status.Revision,
				Reason: fmt.Sprintf("revision %d is in force", h.Status.Revision),
			})
		}
	}
	return behind
}
