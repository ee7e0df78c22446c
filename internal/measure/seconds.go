package measure

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/load"
)

// Second is one second of a run.
type Second struct {
	// P50 and P99 are milliseconds of requests due in the second, without
	// customers that surge.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// Refused are first attempts that were refused, by rate or not.
	Refused int `json:"refused"`
	// Busy is the occupied part of each region's slots.
	Busy map[fleet.Region]float64 `json:"busy"`
}

func (o *observation) seconds(usual func(*load.Record) bool) []Second {
	busy := o.busy()
	list := make([]Second, len(busy))
	samples := make([]*sample, len(list))
	for i := range samples {
		samples[i] = newSample()
	}
	for i := range o.records {
		r := &o.records[i]
		if at := int(r.Intended.Sub(o.start) / time.Second); usual(r) && at >= 0 && at < len(list) {
			samples[at].add(r)
		}
	}
	for i, s := range samples {
		list[i] = Second{P50: s.millis(50), P99: s.millis(99), Refused: s.refused + s.limited, Busy: busy[i]}
	}
	return list
}

// busy returns the occupied part of each region's slots for each second.
func (o *observation) busy() []map[fleet.Region]float64 {
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
	for i := range o.side.Runs {
		run := &o.side.Runs[i]
		if run.End == nil {
			continue
		}
		region := o.bound[run.Upstream].Region
		from, to := run.Start.Sub(o.start), run.End.Sub(o.start)
		for at := max(0, int(from/time.Second)); at < len(list) && time.Duration(at)*time.Second < to; at++ {
			begin := max(from, time.Duration(at)*time.Second)
			end := min(to, time.Duration(at+1)*time.Second)
			list[at][region] += (end - begin).Seconds() / slots[region]
		}
	}
	return list
}

// headroom returns the smallest free part of a region's slots over one second.
func (o *observation) headroom() (float64, fleet.Region) {
	free, fullest := 1.0, fleet.Region("")
	for _, second := range o.busy() {
		for region, part := range second {
			if 1-part < free {
				free, fullest = 1-part, region
			}
		}
	}
	return free, fullest
}
