package upstream

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the load history, which reaches back 40 s at a sample each 10 ms.
const (
	maxSamples     = 4096
	sampleInterval = 10 * time.Millisecond
)

// HealthMode says how an upstream reports its health.
type HealthMode string

// The ways in which health is reported.
const (
	HealthNormal HealthMode = "normal"
	// HealthLag reports the state of LagMillis ago.
	HealthLag HealthMode = "lag"
	// HealthFreeze reports the state at the time of the switch.
	HealthFreeze HealthMode = "freeze"
	// HealthLie reports the given load and draining.
	HealthLie HealthMode = "lie"
	// HealthFail answers with the given status, 500 if none.
	HealthFail HealthMode = "fail"
	// HealthHang does not answer.
	HealthHang HealthMode = "hang"
)

// HealthSetting switches how health is reported.
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

// health holds the load history and the switched setting.
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

// before returns the newest sample that is not younger than at, or zero load.
func (h *health) before(at time.Time) loadSample {
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

// SetHealth switches how health is reported.
func (u *Upstream) SetHealth(setting HealthSetting) {
	if setting.Mode == HealthFreeze {
		now := u.sampleNow()
		setting.Load = now.load
		setting.Draining = now.draining
	}
	u.health.mu.Lock()
	defer u.health.mu.Unlock()
	u.health.setting = setting
}

func (u *Upstream) sampleNow() loadSample {
	current, draining := u.state()
	return loadSample{at: time.Now(), load: float64(current.load()), draining: draining}
}

func (u *Upstream) sampleLoad() { u.health.record(u.sampleNow()) }

// serveHealth answers a probe. The probe holds a slot for its cost if one is free.
func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	u.recorder.count(func(t *Totals) { t.Probes++ })
	current, _ := u.state()
	job := &work{request: r, incarnation: current}
	job.conn, _ = r.Context().Value(connKey{}).(*conn)
	if u.config.ProbeCostMillis > 0 && !u.payProbe(job) {
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
		job.hold()
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, u.healthReport(setting))
	}
}

func (u *Upstream) payProbe(job *work) bool {
	held := trySlot(job.incarnation)
	reason := job.wait(u.after(millis(u.config.ProbeCostMillis)), nil)
	if held {
		<-job.incarnation.slots
	}
	return reason == notInterrupted
}

func (u *Upstream) healthReport(setting HealthSetting) HealthReport {
	sample := u.sampleNow()
	switch setting.Mode {
	case HealthLag:
		sample = u.health.before(sample.at.Add(-millis(setting.LagMillis)))
	case HealthFreeze, HealthLie:
		sample.load = setting.Load
		sample.draining = setting.Draining
	}
	return HealthReport{Load: sample.load, Slots: u.config.Slots, Draining: sample.draining}
}
