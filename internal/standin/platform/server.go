package platform

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/store"
)

// Headers that name a caller.
const (
	// ClientHeader names the caller for cut-offs, counters and its region.
	ClientHeader = "X-Client"
	// RegionHeader gives the caller's region. Without it, the region of the
	// listed host with the caller's name is used.
	RegionHeader = "X-Region"
)

// Options configure a Platform.
type Options struct {
	// Address is the address to listen on. Port 0 picks a free port.
	Address string
	// HostLag is the time after which changes of the host list show.
	HostLag time.Duration
	// Now reads the clock of the host list and of the counters; nil means time.Now.
	Now func() time.Time
}

// Platform is a running stand-in.
type Platform struct {
	objects  *objects
	hosts    *hosts
	calls    *calls
	faults   *faultSwitch
	listener net.Listener
	server   *http.Server
}

// Listen binds the address. Serve must be called to answer calls.
func Listen(options Options) (*Platform, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "platform stand-in cannot listen on %s", options.Address)
	}
	now := options.Now
	if now == nil {
		now = time.Now
	}
	p := &Platform{
		objects:  newObjects(),
		hosts:    newHosts(now),
		calls:    newCalls(now),
		faults:   newFaultSwitch(),
		listener: listener,
	}
	p.hosts.setLag(options.HostLag)
	p.faults.faults.HostLagMillis = int(options.HostLag / time.Millisecond)
	// Aborted handlers are faults on purpose and are not worth a log line.
	p.server = &http.Server{Handler: p.routes(), ErrorLog: log.New(io.Discard, "", 0)}
	return p, nil
}

// Address returns the bound address.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Serve answers calls until Close.
func (p *Platform) Serve() error {
	err := p.server.Serve(p.listener)
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "platform stand-in")
}

// Close closes the listener and all connections.
func (p *Platform) Close() error { return p.server.Close() }

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.call(CallGet, p.getObject))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.putObject)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.call(CallDelete, p.deleteObject))
	mux.HandleFunc("GET /v1/objects/{kind}", p.call(CallList, p.listObjects))
	mux.HandleFunc("GET /v1/watch/{kind}", p.call(CallWatch, p.watch))
	mux.HandleFunc("GET /v1/hosts", p.call(CallHosts, p.listHosts))
	p.adminRoutes(mux)
	return mux
}

// request is a call after its body was read.
type request struct {
	*http.Request
	call     Call
	client   string
	address  string
	body     []byte
	tooLarge bool
}

// reply is the answer of a call.
type reply struct {
	status  int
	version uint64
	raw     []byte
	json    any
	// changed is true if the call changed an object.
	changed bool
	// ended is true if the call failed by a fault and has no other answer.
	ended bool
}

// call wraps a handler with the faults, the delays and the counters.
func (p *Platform) call(call Call, handle func(*request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{Request: r, call: call, client: r.Header.Get(ClientHeader)}
		req.address, _, _ = net.SplitHostPort(r.RemoteAddr)
		if req.client == "" {
			req.client = req.address
		}
		// The body is read first: net/http notices that a client has gone only
		// after the body, and hanging calls depend on that.
		if !req.readBody() {
			panic(http.ErrAbortHandler)
		}
		in, out := p.faults.delay(p.regionOf(req))
		if !pause(r.Context(), in) || !p.available(w, req) {
			return
		}
		p.calls.count(call, req.client)
		answer := handle(req)
		if answer.changed {
			p.loseAnswer(r.Context())
		}
		if answer.ended {
			p.endWatch(w, req)
			return
		}
		if pause(r.Context(), out) {
			answer.write(w)
		}
	}
}

func (r *request) readBody() bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueSize+1))
	if err != nil {
		return false
	}
	r.body = body
	r.tooLarge = len(body) > store.MaxValueSize
	if r.tooLarge {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return err == nil
}

func (p *Platform) regionOf(r *request) fleet.Region {
	if region := r.Header.Get(RegionHeader); region != "" {
		return fleet.Region(region)
	}
	return p.hosts.region(r.client)
}

// available reports whether the call may go on. Otherwise it has ended the call
// as the fault demands: by 503, by closing the connection, or by no answer until
// the client leaves or the fault ends.
func (p *Platform) available(w http.ResponseWriter, r *request) bool {
	mode, changed := p.faults.failure(r.call, r.client, r.address)
	if mode == OutageNone {
		return true
	}
	p.calls.countRefused(r.call)
	if mode == OutageRefuse {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	for mode == OutageHang {
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
		mode, changed = p.faults.failure(r.call, r.client, r.address)
	}
	panic(http.ErrAbortHandler)
}

// endWatch ends a watch that an outage interrupted, even if the outage is over.
func (p *Platform) endWatch(w http.ResponseWriter, r *request) {
	if p.available(w, r) {
		panic(http.ErrAbortHandler)
	}
}

// loseAnswer ends the call without an answer if its answer is to be lost.
func (p *Platform) loseAnswer(ctx context.Context) {
	lose, mode := p.faults.loseAnswer()
	if !lose {
		return
	}
	if mode == OutageHang {
		<-ctx.Done()
	}
	panic(http.ErrAbortHandler)
}

// pause waits and reports whether the client is still there.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
