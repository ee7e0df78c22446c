package edge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxRecordedCrashes bounds the record of crashes in the store, to about 10 KB.
	maxRecordedCrashes = 64
	// crashRecordInterval is the shortest time between two writes of the record by a host. A
	// caller that makes up requests which crash upstreams causes no more calls than that.
	crashRecordInterval = 2 * time.Second
	// crashRecordAttempts is the number of attempts at a write, each on what another host has
	// written meanwhile.
	crashRecordAttempts = 4
)

// quarantineOutput passes crashes that must outlast all processes to keepCrashes.
func (e *Edge) quarantineOutput(now machine.Now, out machine.Output) {
	quarantined, ok := out.(dispatch.Quarantined)
	if !ok {
		return
	}
	crashes := make([]catalog.Crash, 0, len(quarantined.Crashes))
	for _, c := range quarantined.Crashes {
		crashes = append(crashes, catalog.Crash{
			Fingerprint: c.Fingerprint, Upstream: c.Upstream, Incarnation: c.Incarnation, ID: c.ID, AtMillis: now.WallMillis - c.AgeMillis,
		})
	}
	e.crashes.Store(&crashes)
	select {
	case e.crashesDue <- struct{}{}:
	default:
		// keepCrashes has not yet handled the previous change.
	}
}

// keepCrashes reads the crashes that earlier processes have seen, and records those that this
// one sees. So a request that crashes upstreams is still refused when all processes have ended
// at once.
func (e *Edge) keepCrashes(ctx context.Context) {
	if !e.Settings.FirstStart {
		e.recallCrashes(ctx)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.crashesDue:
		}
		if err := e.recordCrashes(ctx, *e.crashes.Load()); err != nil {
			e.log.Warn().Err(err).Msg("crashes were not recorded")
		}
		wait(ctx, crashRecordInterval)
	}
}

// recallCrashes passes on the recorded crashes once the store answers.
func (e *Edge) recallCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		record, err := e.Store.CrashRecord(ctx)
		if err != nil {
			e.log.Warn().Err(err).Msg("record of crashes is not available")
			if isUnreadable(err) {
				return
			}
			wait(ctx, storeRetryInterval)
			continue
		}
		if len(record.Crashes) > 0 {
			e.post(e.modules.quarantine, dispatch.Recall{Crashes: recalled(record.Crashes, e.clock.Now().WallMillis)})
			e.log.Info().Int("crashes", len(record.Crashes)).Uint64("store", record.Revision).Msg("crashes of earlier processes are known")
		}
		return
	}
}

// recalled returns recorded crashes with their ages. The clocks of hosts may be apart, so none
// has a negative one.
func recalled(crashes []catalog.Crash, nowMillis int64) []dispatch.Crash {
	list := make([]dispatch.Crash, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, dispatch.Crash{
			Fingerprint: c.Fingerprint, Upstream: c.Upstream, Incarnation: c.Incarnation, ID: c.ID, AgeMillis: max(0, nowMillis-c.AtMillis),
		})
	}
	return list
}

// recordCrashes adds crashes to the record.
func (e *Edge) recordCrashes(ctx context.Context, crashes []catalog.Crash) error {
	var err error
	for range crashRecordAttempts {
		var record catalog.CrashRecord
		if record, err = e.Store.CrashRecord(ctx); err != nil && !isUnreadable(err) {
			continue
		}
		merged := mergeCrashes(record.Crashes, crashes)
		if slices.Equal(merged, record.Crashes) {
			return nil
		}
		record.Crashes = merged
		if err = e.Store.PutCrashRecord(ctx, record); err == nil {
			e.log.Info().Int("crashes", len(merged)).Msg("crashes are recorded")
			return nil
		}
	}
	return err
}

// isUnreadable reports whether the record exists and has to be replaced.
func isUnreadable(err error) bool {
	var unreadable *catalog.UnreadableRecordError
	return errors.As(err, &unreadable)
}

// mergeCrashes returns the latest crashes of two lists, sorted by time. Reports are equal if
// fingerprint and ID are.
func mergeCrashes(a, b []catalog.Crash) []catalog.Crash {
	merged := slices.Clone(a)
	for _, c := range b {
		if !slices.ContainsFunc(merged, func(x catalog.Crash) bool { return x.Fingerprint == c.Fingerprint && x.ID == c.ID }) {
			merged = append(merged, c)
		}
	}
	slices.SortStableFunc(merged, func(x, y catalog.Crash) int { return cmp.Compare(x.AtMillis, y.AtMillis) })
	return merged[max(0, len(merged)-maxRecordedCrashes):]
}
