package upstream

import (
	"net/http"
	"sync"
	"time"
)

// Limits of the load history, which covers 40 s with one sample every 10 ms.
const (
	maxSamples     = 4096
	sampleInterval = 10 * time.Millisecond
)

// HealthMode is the way in which an upstream reports its health.
type HealthMode string

// The health modes.
const (
	HealthNormal HealthMode = "normal"
	// HealthLag reports the state from LagMillis ago.
	HealthLag HealthMode = "lag"
	// HealthFreeze keeps reporting the state at the time when the mode was set.
	HealthFreeze HealthMode = "freeze"
	// HealthLie reports the Load and Draining of the setting.
	HealthLie HealthMode = "lie"
	// HealthFail answers with the Status of the setting, or 500 if it is zero.
	HealthFail HealthMode = "fail"
	// HealthHang does not answer.
	HealthHang HealthMode = "hang"
)

// HealthSetting configures how health is reported.
type HealthSetting struct {
	Mode      HealthMode `json:"mode"`
	LagMillis float64    `json:"lagMillis"`
	Load      float64    `json:"load"`
	Draining  bool       `json:"draining"`
	Status    int        `json:"status"`
}

// HealthReport is the answer of GET /health.
type HealthReport struct {
	// Load is the number of running and waiting requests.
	Load     float64 `json:"load"`
	Slots    int     `json:"slots"`
	Draining bool    `json:"draining"`
}

type loadSample struct {
	at       time.Time
	load     float64
	draining bool
}

// health holds the load history and the health setting.
type health struct {
	mu      sync.Mutex
	setting HealthSetting
	samples []loadSample
}

func (h *health) record(s loadSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.samples) - 1
	if last > 0 && s.at.Sub(h.samples[last-1].at) < sampleInterval {
		h.samples[last] = s
		return
	}
	if len(h.samples) >= maxSamples {
		h.samples = append(h.samples[:0], h.samples[maxSamples/2:]...)
	}
	h.samples = append(h.samples, s)
}

// sampleAt returns the newest sample not taken after at, or zero load if there is
// none.
func (h *health) sampleAt(at time.Time) loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(at) {
			return h.samples[i]
		}
	}
	return loadSample{at: at}
}

func (h *health) get() HealthSetting {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.setting
}

// SetHealth sets how health is reported.
func (u *Upstream) SetHealth(setting HealthSetting) {
	if setting.Mode == HealthFreeze {
		now := u.currentSample()
		setting.Load = now.load
		setting.Draining = now.draining
	}
	u.health.mu.Lock()
	defer u.health.mu.Unlock()
	u.health.setting = setting
}

func (u *Upstream) currentSample() loadSample {
	current, draining := u.state()
	return loadSample{at: time.Now(), load: float64(current.load()), draining: draining}
}

func (u *Upstream) recordSample() { u.health.record(u.currentSample()) }

// serveHealth answers a health probe, which takes ProbeCostMillis.
func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	u.recorder.count(func(t *Totals) { t.Probes++ })
	current, _ := u.state()
	job := &workRequest{request: r, incarnation: current}
	job.conn, _ = r.Context().Value(connKey{}).(*conn)
	if u.config.ProbeCostMillis > 0 && !u.holdProbeSlot(job) {
		panic(http.ErrAbortHandler)
	}
	setting := u.health.get()
	switch setting.Mode {
	case HealthFail:
		status := setting.Status
		if status == 0 {
			status = http.StatusInternalServerError
		}
		w.WriteHeader(status)
	case HealthHang:
		job.blockUntilClosed()
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, u.healthReport(setting))
	}
}

func (u *Upstream) holdProbeSlot(job *workRequest) bool {
	held := tryAcquireSlot(job.incarnation)
	reason := job.wait(u.after(millis(u.config.ProbeCostMillis)), nil)
	if held {
		<-job.incarnation.slots
	}
	return reason == notInterrupted
}

func (u *Upstream) healthReport(setting HealthSetting) HealthReport {
	sample := u.currentSample()
	switch setting.Mode {
	case HealthLag:
		sample = u.health.sampleAt(sample.at.Add(-millis(setting.LagMillis)))
	case HealthFreeze, HealthLie:
		sample.load = setting.Load
		sample.draining = setting.Draining
	}
	return HealthReport{Load: sample.load, Slots: u.config.Slots, Draining: sample.draining}
}
