package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/catkinspring/catkinspring/store"
)

// maxAdminBody is the maximum size of the body of an admin call, in bytes.
const maxAdminBody = 1 << 20

// snapshotRequest is the body of POST /admin/snapshot and POST /admin/restore.
type snapshotRequest struct {
	// Name of the snapshot; "default" if empty.
	Name string `json:"name"`
	// RewindVersions resets the versions of the objects and the store to those
	// of the snapshot. Only restore uses it.
	RewindVersions bool `json:"rewindVersions"`
}

// snapshotReply is the answer of the snapshot calls and holds the store's version.
type snapshotReply struct {
	Version uint64 `json:"version"`
}

func (p *Platform) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.faults.get())
	})
	mux.HandleFunc("POST /admin/faults", p.changeFaults)
	mux.HandleFunc("DELETE /admin/faults", p.clearFaults)
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.callCounters.report())
	})
	mux.HandleFunc("DELETE /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		p.callCounters.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.hostList.current())
	})
	mux.HandleFunc("PUT /admin/hosts/{name}", p.putHost)
	mux.HandleFunc("DELETE /admin/hosts/{name}", p.deleteHost)
	mux.HandleFunc("POST /admin/snapshot", p.takeSnapshot)
	mux.HandleFunc("POST /admin/restore", p.restore)
}

// decode reads a JSON body into value and rejects unknown fields. An empty body
// leaves value unchanged.
func decode(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBody))
	if err != nil {
		return badRequest("body: %v", err)
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return badRequest("body: %v", err)
	}
	return nil
}

func (p *Platform) changeFaults(w http.ResponseWriter, r *http.Request) {
	p.applyFaults(w, func(f *Faults) error { return decode(r, f) })
}

func (p *Platform) clearFaults(w http.ResponseWriter, _ *http.Request) {
	p.applyFaults(w, func(f *Faults) error {
		lag := f.HostLagMillis
		*f = defaultFaults()
		f.HostLagMillis = lag
		return nil
	})
}

func (p *Platform) applyFaults(w http.ResponseWriter, edit func(*Faults) error) {
	faults, err := p.faults.change(edit)
	if err != nil {
		errorReply(err).write(w)
		return
	}
	p.hostList.setLag(time.Duration(faults.HostLagMillis) * time.Millisecond)
	p.hostList.setFrozen(faults.HostsFrozen)
	writeJSON(w, http.StatusOK, faults)
}

// putHost adds or replaces a host. With the query parameter immediate=true, the
// host list shows the change without lag.
func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	host := store.ListedHost{State: store.HostLive}
	if err := decode(r, &host); err != nil {
		errorReply(err).write(w)
		return
	}
	host.Name = r.PathValue("name")
	if host.Role != store.RoleEntry && host.Role != store.RoleUpstream {
		errorReply(badRequest("role %q is neither entry nor upstream", host.Role)).write(w)
		return
	}
	if host.State != store.HostLive && host.State != store.HostLeaving {
		errorReply(badRequest("state %q is neither live nor leaving", host.State)).write(w)
		return
	}
	p.hostList.put(host, immediate(r))
	writeJSON(w, http.StatusOK, host)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	if !p.hostList.remove(r.PathValue("name"), immediate(r)) {
		errorReply(&RequestError{Status: http.StatusNotFound, Detail: "host is not listed"}).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func immediate(r *http.Request) bool { return r.URL.Query().Get("immediate") == "true" }

func (p *Platform) takeSnapshot(w http.ResponseWriter, r *http.Request) {
	p.serveSnapshotCall(w, r, func(s snapshotRequest) (uint64, error) { return p.objects.takeSnapshot(s.Name) })
}

func (p *Platform) restore(w http.ResponseWriter, r *http.Request) {
	p.serveSnapshotCall(w, r, func(s snapshotRequest) (uint64, error) { return p.objects.restore(s.Name, s.RewindVersions) })
}

func (p *Platform) serveSnapshotCall(w http.ResponseWriter, r *http.Request, apply func(snapshotRequest) (uint64, error)) {
	s := snapshotRequest{Name: "default"}
	if err := decode(r, &s); err != nil {
		errorReply(err).write(w)
		return
	}
	version, err := apply(s)
	if err != nil {
		errorReply(err).write(w)
		return
	}
	writeJSON(w, http.StatusOK, snapshotReply{Version: version})
}
