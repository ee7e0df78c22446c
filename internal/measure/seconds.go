package measure

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/load"
)

// Second holds the results of one second of a run.
type Second struct {
	// P50 and P99 are latencies in milliseconds of requests due in the second, without
	// customers that surge.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// Refused counts first attempts of these requests that were refused, because of
	// the rate or for another reason.
	Refused int `json:"refused"`
	// Busy is the occupied share of each region's slots.
	Busy map[fleet.Region]float64 `json:"busy"`
}

func (o *observation) computeSeconds(nonSurging func(*load.Record) bool) []Second {
	slotUtilization := o.slotUtilization()
	list := make([]Second, len(slotUtilization))
	stats := make([]*requestStats, len(list))
	for i := range stats {
		stats[i] = newRequestStats()
	}
	for i := range o.records {
		r := &o.records[i]
		if at := int(r.Intended.Sub(o.start) / time.Second); nonSurging(r) && at >= 0 && at < len(list) {
			stats[at].add(r)
		}
	}
	for i, s := range stats {
		list[i] = Second{P50: s.latencyMillis(50), P99: s.latencyMillis(99), Refused: s.refusedOther + s.rateLimited, Busy: slotUtilization[i]}
	}
	return list
}

// slotUtilization returns the occupied share of each region's slots for each second.
func (o *observation) slotUtilization() []map[fleet.Region]float64 {
	slots := map[fleet.Region]float64{}
	for _, bound := range o.bound {
		slots[bound.Region] += float64(bound.Slots)
	}
	list := make([]map[fleet.Region]float64, int((o.scenario.Length()+time.Second-1)/time.Second))
	for i := range list {
		list[i] = map[fleet.Region]float64{}
		for _, region := range o.scenario.Deployment.Regions {
			list[i][region] = 0
		}
	}
	for i := range o.upstreamRecords.Runs {
		run := &o.upstreamRecords.Runs[i]
		if run.End == nil {
			continue
		}
		region := o.bound[run.Upstream].Region
		from, to := run.Start.Sub(o.start), run.End.Sub(o.start)
		for second := max(0, int(from/time.Second)); second < len(list) && time.Duration(second)*time.Second < to; second++ {
			begin := max(from, time.Duration(second)*time.Second)
			end := min(to, time.Duration(second+1)*time.Second)
			list[second][region] += (end - begin).Seconds() / slots[region]
		}
	}
	return list
}

// headroom returns the smallest free share of a region's slots over one second.
func (o *observation) headroom() (float64, fleet.Region) {
	free, fullest := 1.0, fleet.Region("")
	for _, second := range o.slotUtilization() {
		for region, share := range second {
			if 1-share < free {
				free, fullest = 1-share, region
			}
		}
	}
	return free, fullest
}
