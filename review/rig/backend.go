package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header names of the platform.
const (
	headerRequestID   = "X-Catkinspring-Request-Id"
	headerDeadline    = "X-Catkinspring-Request-Deadline-Ms"
	headerTarget      = "X-Catkinspring-Target-Instance"
	headerTenant      = "X-Catkinspring-Tenant"
	headerCredential  = "X-Catkinspring-Credential"
	headerSignature   = "X-Catkinspring-Server-Signature"
	headerLoad        = "X-Catkinspring-Server-Load"
	headerNotExecuted = "X-Catkinspring-Not-Executed"
)

// execution is one run of a request at a backend.
type execution struct {
	id, backend, tenant string
	started, ended      time.Time
	// whole is true if the work was done and the answer handed to the connection.
	whole bool
}

// backends is a set of backends that share a record of what they ran.
type backends struct {
	rig  *rig
	work time.Duration
	// poison is the path of a request that crashes each backend that begins to run it.
	poison string
	// newIDs gives a backend a new ID when it starts again after a crash.
	newIDs bool

	mu         sync.Mutex
	executions []*execution
}

// backend is a stand-in of one server of a service.
type backend struct {
	set               *backends
	id, service, zone string
	address           string
	slots             int
	born              int64

	mu      sync.Mutex
	running int
	server  *http.Server
}

const (
	// downTime is how long a backend is down after a crash, coldTime how long it is then
	// cold.
	downTime = 3 * time.Second
	coldTime = 3 * time.Second
)

// add starts a backend and registers it in the store.
func (b *backends) add(id, service, zone string, slots int) (*backend, error) {
	one := &backend{set: b, id: id, service: service, zone: zone, address: "127.0.0.1:0", slots: slots}
	if err := one.listen(); err != nil {
		return nil, err
	}
	b.rig.atEnd(one.close)
	one.register("ready", 0)
	return one, nil
}

// listen starts the process of the backend, again at the same address after a crash.
func (b *backend) listen() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address, b.born, b.running = l.Addr().String(), time.Now().UnixMilli(), 0
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(b.server)
	return nil
}

// close ends the process of the backend: it closes its connections and refuses new ones.
func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.server.Close()
}

// crash ends the process and starts it again downTime later. A crashed backend sends
// nothing to the store until it is back.
func (b *backend) crash() {
	b.close()
	time.Sleep(downTime)
	if b.set.newIDs {
		b.set.rig.store.remove("servers", b.id)
		b.id += "x"
	}
	if err := b.listen(); err != nil {
		b.set.rig.record("backend %s could not start again: %v", b.id, err)
		return
	}
	b.register("ready", coldTime)
	b.set.rig.record("backend %s is back", b.id)
	time.Sleep(coldTime)
	b.register("ready", 0)
}

// register writes the entry of the backend and returns when the store has accepted it.
func (b *backend) register(state string, cold time.Duration) time.Time {
	return b.set.rig.store.put("servers", b.id, map[string]any{
		"Address": b.address, "born": b.born,
		"Info":   map[string]any{"Service": b.service, "Version": "v1", "Zone": b.zone, "Slots": b.slots},
		"Status": map[string]any{"State": state, "Sequence": 1, "Cold": fmt.Sprintf("%dms", cold.Milliseconds())},
	})
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if target := r.Header.Get(headerTarget); target != "" && target != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.begin() {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e := &execution{id: id, backend: b.id, tenant: r.Header.Get(headerTenant), started: time.Now()}
	b.set.mu.Lock()
	b.set.executions = append(b.set.executions, e)
	b.set.mu.Unlock()
	if b.set.poison != "" && r.URL.Path == b.set.poison {
		b.set.rig.record("backend %s begins to run %s and crashes", b.id, id)
		go b.crash()
		panic(http.ErrAbortHandler)
	}
	whole := sleep(r.Context(), b.set.work)
	load := b.end()
	b.set.mu.Lock()
	e.ended, e.whole = time.Now(), whole
	b.set.mu.Unlock()
	if !whole {
		return
	}
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", load, b.slots))
	w.Header().Set(headerSignature, "signed-"+id)
	_, _ = fmt.Fprintf(w, "%s ran %s", b.id, id)
}

// begin takes a slot. A request beyond the slots is rejected.
func (b *backend) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= b.slots {
		return false
	}
	b.running++
	return true
}

// end returns a slot and the number of requests that still run.
func (b *backend) end() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	return b.running
}

// runs returns copies of the runs so far, by request.
func (b *backends) runs() map[string][]execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	byID := map[string][]execution{}
	for _, e := range b.executions {
		byID[e.id] = append(byID[e.id], *e)
	}
	return byID
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Names that the configurations of all cases use.
const (
	hostName    = "entry.example"
	serviceName = "katalog"
	tenantName  = "laboratory"
	keyKept     = "key-that-stays"
	keyRevoked  = "key-that-is-taken-away"
	readPath    = "/read/"
	writePath   = "/write/"
)

// configuration returns the operator's configuration with one idempotent route, one that
// isn't, and one tenant.
func configuration(version int, keys ...string) map[string]any {
	route := func(name, path, kind, timeout string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "PathPrefix": path, "Kind": kind, "Timeout": timeout, "TargetLatency": "600ms",
			"Priority": 1, "Service": serviceName, "MaxAttempts": attempts, "Anonymous": false, "Sticky": false, "AllowedRegions": []string{},
		}
	}
	return map[string]any{
		"Version": fmt.Sprintf("r%d", version),
		"Routes": []any{
			route("r-read", readPath, "idempotent", "2900ms", 2),
			route("r-write", writePath, "non_idempotent", "3900ms", 2),
		},
		"Services": []any{map[string]any{
			"Name": serviceName, "HealthPath": "/healthz", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "SlowStart": "3s", "WarmupPerS": 3.6,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
		"Tenants": []any{map[string]any{
			"Name": tenantName, "ApiKeys": keys, "Priority": 1, "RatePerS": 400, "Burst": 400, "AllowedRegions": []string{},
		}},
	}
}
