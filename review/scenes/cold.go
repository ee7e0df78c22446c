package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

const (
	// warmupPerS is the rate that a cold server tolerates, coldFor how long it stays cold. It
	// crashes when more than crashPerS requests arrive in a second.
	warmupPerS = 4
	coldFor    = 3 * time.Second
	crashPerS  = 4 * warmupPerS
	// coldAllowed is the bound of the rule, by the bounds ColdOver and ColdSlack.
	coldAllowed = warmupPerS*1.5 + 5
	// beat is the interval in which servers write their entries.
	beat        = 1500 * time.Millisecond
	serverSlots = 8
	serverWork  = 30 * time.Millisecond
	// restartTime is how long a crashed server is away.
	restartTime = 3 * time.Second
	// ordersPerS is the rate of orders at each host.
	ordersPerS = 150
	// evacuationTime is how long a zone is evacuated.
	evacuationTime = 6 * time.Second
)

// coldServer is a stand-in of a server that can become cold.
type coldServer struct {
	scene      *scene
	name, zone string

	mu sync.Mutex
	// id begins with the name and is another one after each crash.
	id        string
	starts    int
	address   string
	born      int64
	running   int
	down      bool
	coldUntil time.Time
	// arrivals are the times at which requests arrived while it was cold.
	arrivals []time.Time
	entry    map[string]any
	server   *http.Server
	// cut are the orders that were at work when it crashed.
	cut []string
}

// start starts the process of the server, again at the same address after a crash.
func (c *coldServer) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.address, c.born, c.running, c.down = l.Addr().String(), time.Now().UnixMilli(), 0, false
	c.starts++
	if c.starts == 1 {
		c.id = c.name
	} else {
		c.scene.Store.Remove("servers", c.id)
		c.id += "x"
		c.coldUntil = time.Now().Add(coldFor)
	}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func(server *http.Server) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.scene.Record("server %s: %v", c.id, err)
		}
	}(c.server)
	c.writeEntry()
	return nil
}

// writeEntry writes what the server says of itself. c.mu must be held.
func (c *coldServer) writeEntry() {
	cold := max(0, time.Until(c.coldUntil)).Round(time.Millisecond)
	next := map[string]any{
		"Address": c.address, "born": c.born,
		"Info":   map[string]any{"Service": rig.ServiceName, "Version": "v1", "Zone": c.zone, "Slots": serverSlots},
		"Status": map[string]any{"State": "ready", "Sequence": 1, "Cold": fmt.Sprintf("%dms", cold.Milliseconds())},
	}
	if fmt.Sprint(next) == fmt.Sprint(c.entry) {
		return
	}
	c.entry = next
	c.scene.Store.Put("servers", c.id, next)
}

// heartbeats writes the entry again and again until the context ends, the first time after
// beat and a delay: the heartbeats of the servers do not come together.
func (c *coldServer) heartbeats(ctx context.Context, delay time.Duration) {
	for rig.Sleep(ctx, delay); rig.Sleep(ctx, beat); {
		c.mu.Lock()
		if !c.down {
			c.writeEntry()
		}
		c.mu.Unlock()
	}
}

// becomeCold makes the server cold from now on.
func (c *coldServer) becomeCold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil = time.Now().Add(coldFor)
}

// stop ends the process. c.mu must be held.
func (c *coldServer) stop() {
	c.down = true
	_ = c.server.Close() // the listener's error changes nothing, the stand-in is gone
}

func (c *coldServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(rig.HeaderRequestID)
	w.Header().Set(rig.HeaderRequestID, id)
	if r.URL.Path == "/healthz" {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.Header().Set("X-Catkinspring-Instance-Id", c.id)
		w.Header().Set("X-Catkinspring-Warmup-Remaining", fmt.Sprint(max(0, time.Until(c.coldUntil)).Milliseconds()))
		return
	}
	status := c.arrive(id, r.Header.Get(rig.HeaderTarget))
	if status != http.StatusOK {
		w.Header().Set(rig.HeaderNotExecuted, "1")
		w.WriteHeader(status)
		return
	}
	whole := rig.Sleep(r.Context(), serverWork)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if c.down {
		c.cut = append(c.cut, id)
		panic(http.ErrAbortHandler)
	}
	if !whole {
		return
	}
	w.Header().Set(rig.HeaderLoad, fmt.Sprintf("%d,0,%d", c.running, serverSlots))
	w.Header().Set(rig.HeaderSignature, "signed-"+id)
	_, _ = fmt.Fprintf(w, "%s ran %s", c.id, id) // the host may have closed the connection
}

// arrive takes a slot for a request. It crashes the server if too many arrive while it is
// cold.
func (c *coldServer) arrive(id, target string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target != c.id {
		return http.StatusMisdirectedRequest
	}
	now := time.Now()
	if now.Before(c.coldUntil) && !c.down {
		c.arrivals = append(c.arrivals, now)
		if lately := countSince(c.arrivals, now.Add(-time.Second)); lately > crashPerS {
			c.scene.Record("server %s is cold, got %d requests in a second and crashes with %d at work", c.id, lately, c.running)
			c.stop()
			time.AfterFunc(restartTime, func() {
				if err := c.start(); err != nil {
					c.scene.Record("server %s could not start again: %v", c.id, err)
				}
			})
		}
	}
	if c.running >= serverSlots {
		return http.StatusServiceUnavailable
	}
	c.running++
	c.scene.Record("%s is run by %s", id, c.id)
	return http.StatusOK
}

func countSince(times []time.Time, from time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
		n++
	}
	return n
}

// sendSteadily places orders at a host at a steady rate until the context ends.
func (s *scene) sendSteadily(ctx context.Context, group *sync.WaitGroup, h *rig.Host, perSecond float64, done func(answer)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	group.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				group.Go(func() {
					done(callKept(h, "POST", rig.WritePath+"order", newID("order"), []byte("one stack of sieves"), 3*time.Second))
				})
			}
		}
	})
}

// coldRun is a fleet of three hosts in one region with servers in two zones, under orders.
type coldRun struct {
	*scene
	servers []*coldServer
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]answer
}

// startColdRun starts the servers, the hosts and the orders.
func (s *scene) startColdRun() (*coldRun, error) {
	config := configuration(1)
	config["Services"].([]any)[0].(map[string]any)["WarmupPerS"] = warmupPerS
	s.Store.Put("config", "main", config)
	c := &coldRun{scene: s, answers: map[string]answer{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i, zone := range []string{"ost-a", "ost-a", "ost-a", "ost-b", "ost-b", "ost-b"} {
		server := &coldServer{scene: s, zone: zone, name: fmt.Sprintf("i-%s-%d", zone, i), address: "127.0.0.1:0"}
		if err := server.start(); err != nil {
			return nil, err
		}
		c.servers = append(c.servers, server)
		go server.heartbeats(c.ctx, time.Duration(i%3)*beat/3)
	}
	for _, name := range []string{"edge-ost-a-1", "edge-ost-a-2", "edge-ost-a-3"} {
		if _, err := s.AddHost(name, "ost-a"); err != nil {
			return nil, err
		}
	}
	if err := s.startHosts(true); err != nil {
		return nil, err
	}
	for _, h := range s.Hosts() {
		s.sendSteadily(c.ctx, &c.group, h, ordersPerS, func(a answer) {
			s.recordAnswer(h, a)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answers[a.id] = a
		})
	}
	time.Sleep(10 * time.Second)
	return c, nil
}

// evacuate evacuates the zone ost-b.
func (c *coldRun) evacuate() {
	c.Store.Put("evacuations", "ost-b", map[string]any{})
	c.Record("zone ost-b is evacuated")
}

// restore takes the evacuation back; the servers of the zone have just become cold.
func (c *coldRun) restore() {
	for _, server := range c.servers {
		if server.zone == "ost-b" {
			server.becomeCold()
		}
	}
	c.Store.Remove("evacuations", "ost-b")
	c.Record("the evacuation of ost-b is taken back, its servers are cold")
}

// finish ends the orders and reports whether the rule held for all servers.
func (c *coldRun) finish() bool {
	c.cancel()
	c.group.Wait()
	held := true
	for _, server := range c.servers {
		server.mu.Lock()
		held = server.judge(c.answers) && held
		server.stop()
		server.mu.Unlock()
	}
	return held
}

// coldUnseen evacuates a zone whose servers are cold at the end, while the store is silent to
// one of three hosts.
func coldUnseen(s *scene) (bool, error) {
	c, err := s.startColdRun()
	if err != nil {
		return false, err
	}
	away := s.Hosts()[2]
	if s.trouble {
		away.Door.Partition()
		s.Record("the store is silent to %s", away.Name)
	}
	time.Sleep(300 * time.Millisecond)
	c.evacuate()
	time.Sleep(evacuationTime)
	c.restore()
	time.Sleep(turnedAway - evacuationTime - 300*time.Millisecond)
	if s.trouble {
		away.Door.Heal()
		s.Record("the store serves %s again", away.Name)
	}
	time.Sleep(6 * time.Second)
	return c.finish(), nil
}

// coldRestart takes an evacuation back just before a host that was stopped as planned starts
// again.
func coldRestart(s *scene) (bool, error) {
	c, err := s.startColdRun()
	if err != nil {
		return false, err
	}
	c.evacuate()
	time.Sleep(time.Second)
	stopped := s.Hosts()[2]
	if s.trouble {
		stopped.Signal(syscall.SIGTERM)
		s.Record("SIGTERM to %s", stopped.Name)
		if !stopped.Wait(rig.Grace) {
			return false, &rig.NotReadyError{Host: stopped.Name, Waited: rig.Grace}
		}
		s.Record("%s has ended", stopped.Name)
	} else {
		time.Sleep(evacuationTime)
	}
	c.restore()
	if s.trouble {
		time.Sleep(100 * time.Millisecond)
		if err := stopped.Start(false); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	return c.finish(), nil
}

// judge reports whether the rule held for a server. c.mu must be held.
func (c *coldServer) judge(answers map[string]answer) bool {
	most, at := 0, time.Time{}
	for _, from := range c.arrivals {
		n := 0
		for _, other := range c.arrivals {
			if !other.Before(from) && other.Before(from.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	for _, id := range c.cut {
		c.scene.Record("order %s was at work at %s when that crashed; the caller got %s", id, c.name, answers[id])
	}
	if most > 0 {
		c.scene.Record("cold server %s got %d requests in one second, from second %.1f on; allowed are %.1f", c.name, most, at.Sub(c.scene.Started).Seconds(), coldAllowed)
	}
	return float64(most) <= coldAllowed
}
