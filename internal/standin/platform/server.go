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

// Headers that identify a caller.
const (
	// ClientHeader is the caller's name for cut-offs, counters and its region.
	ClientHeader = "X-Client"
	// RegionHeader is the caller's region. Without it, the region of the listed
	// host with the caller's name is used.
	RegionHeader = "X-Region"
)

// Options configure a Platform.
type Options struct {
	// Address is the address to listen on. Port 0 picks a free port.
	Address string
	// HostLag is the time after which changes of the host list become visible.
	HostLag time.Duration
	// Now is the clock of the host list and the counters; nil means time.Now.
	Now func() time.Time
}

// Platform is a running platform stand-in.
type Platform struct {
	objects      *objects
	hostList     *hostList
	callCounters *callCounters
	faults       *faultSettings
	listener     net.Listener
	server       *http.Server
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
		objects:      newObjects(),
		hostList:     newHostList(now),
		callCounters: newCallCounters(now),
		faults:       newFaultSettings(),
		listener:     listener,
	}
	p.hostList.setLag(options.HostLag)
	p.faults.faults.HostLagMillis = int(options.HostLag / time.Millisecond)
	// Aborted handlers are injected faults, so they are not logged.
	p.server = &http.Server{Handler: p.routes(), ErrorLog: log.New(io.Discard, "", 0)}
	return p, nil
}

// Address returns the bound address.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Serve serves calls until Close is called.
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

// request is a call whose body has been read.
type request struct {
	*http.Request
	call     Call
	client   string
	address  string
	body     []byte
	tooLarge bool
}

// reply is the answer to a call.
type reply struct {
	status  int
	version uint64
	raw     []byte
	json    any
	// changed is true if the call modified an object.
	changed bool
	// aborted is true if an outage interrupted the call; the other fields are unset.
	aborted bool
}

// call adds faults, delays and counters to a handler.
func (p *Platform) call(call Call, handle func(*request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{Request: r, call: call, client: r.Header.Get(ClientHeader)}
		req.address, _, _ = net.SplitHostPort(r.RemoteAddr)
		if req.client == "" {
			req.client = req.address
		}
		// The body is read first: net/http detects a disconnected client only
		// after that, and hanging calls depend on the detection.
		if !req.readBody() {
			panic(http.ErrAbortHandler)
		}
		in, out := p.faults.delay(p.clientRegion(req))
		if !sleep(r.Context(), in) || !p.admitCall(w, req) {
			return
		}
		p.callCounters.count(call, req.client)
		result := handle(req)
		if result.changed {
			p.loseAnswer(r.Context())
		}
		if result.aborted {
			p.abortWatch(w, req)
			return
		}
		if sleep(r.Context(), out) {
			result.write(w)
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

func (p *Platform) clientRegion(r *request) fleet.Region {
	if region := r.Header.Get(RegionHeader); region != "" {
		return fleet.Region(region)
	}
	return p.hostList.region(r.client)
}

// admitCall reports whether the call may proceed. Otherwise it ends the call in
// the way of the outage: with 503, by closing the connection, or by not answering
// until the client disconnects or the fault ends.
func (p *Platform) admitCall(w http.ResponseWriter, r *request) bool {
	mode, changed := p.faults.failureMode(r.call, r.client, r.address)
	if mode == OutageNone {
		return true
	}
	p.callCounters.countRefused(r.call)
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
		mode, changed = p.faults.failureMode(r.call, r.client, r.address)
	}
	panic(http.ErrAbortHandler)
}

// abortWatch ends a watch that an outage interrupted, even if the outage has
// ended since.
func (p *Platform) abortWatch(w http.ResponseWriter, r *request) {
	if p.admitCall(w, r) {
		panic(http.ErrAbortHandler)
	}
}

// loseAnswer ends the call without an answer if the faults demand it.
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

// sleep waits for d and reports whether the client is still connected.
func sleep(ctx context.Context, d time.Duration) bool {
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
