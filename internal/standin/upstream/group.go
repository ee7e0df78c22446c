package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/store"
)

// registrationTimeout limits one registration in the platform's host list.
const registrationTimeout = 5 * time.Second

// Options configure a Group.
type Options struct {
	// AdminAddress is the address of the admin listener; port 0 picks a free port.
	AdminAddress string
	// Platform is the address of the platform stand-in; if empty, the upstreams
	// are not registered in a host list.
	Platform string
	// Records is the number of most recent runs kept; zero means DefaultRecords.
	Records int
	// after is the timer for service times and delays; nil means time.After.
	// Tests replace it.
	after func(time.Duration) <-chan time.Time
}

// Group is the set of upstreams of one process.
type Group struct {
	recorder  *Recorder
	network   *network
	upstreams []*Upstream
	platform  string
	admin     net.Listener
	server    *http.Server
	serving   conc.WaitGroup
}

// BoundUpstream describes an upstream and the address that it is bound to.
type BoundUpstream struct {
	Name          fleet.Upstream      `json:"name"`
	Address       string              `json:"address"`
	Pool          fleet.Pool          `json:"pool"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Slots         int                 `json:"slots"`
}

// Addresses are the bound addresses of a process.
type Addresses struct {
	Admin     string          `json:"admin"`
	Upstreams []BoundUpstream `json:"upstreams"`
}

// RegistrationError reports that the platform rejected the registration of an
// upstream.
type RegistrationError struct {
	Upstream fleet.Upstream
	Status   int
	Detail   string
}

func (e *RegistrationError) Error() string {
	return fmt.Sprintf("platform answered %d to the registration of %s: %s", e.Status, e.Upstream, e.Detail)
}

// Start binds and serves all upstreams and registers them. It returns
// *ConfigError, *RegistrationError or a network error.
func Start(configs []Config, options Options) (*Group, error) {
	if err := prepareConfigs(configs); err != nil {
		return nil, err
	}
	records := options.Records
	if records == 0 {
		records = DefaultRecords
	}
	g := &Group{recorder: NewRecorder(records), network: &network{idleAt: map[linkID]time.Time{}}, platform: options.Platform}
	if err := g.start(configs, options); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

func (g *Group) start(configs []Config, options Options) error {
	admin, err := net.Listen("tcp", options.AdminAddress)
	if err != nil {
		return eris.Wrapf(err, "upstream stand-in cannot listen on %s", options.AdminAddress)
	}
	after := options.after
	if after == nil {
		after = time.After
	}
	g.admin = admin
	g.server = &http.Server{Handler: g.adminRoutes()}
	for _, config := range configs {
		u, err := newUpstream(config, g.recorder, g.network, after)
		if err != nil {
			return err
		}
		g.upstreams = append(g.upstreams, u)
		if err := g.register(u, store.HostLive); err != nil {
			return err
		}
	}
	// Serve returns when Close closes the listener.
	g.serving.Go(func() { _ = g.server.Serve(admin) })
	return nil
}

// Close stops all upstreams without draining. They stay in the host list.
func (g *Group) Close() {
	for _, u := range g.upstreams {
		u.close()
	}
	if g.server != nil {
		// The listener and the connections are released even on an error.
		_ = g.server.Close()
	}
	if g.admin != nil {
		// If the server has closed it already, this returns an error.
		_ = g.admin.Close()
	}
	g.serving.Wait()
}

// Recorder returns the recorder of the runs.
func (g *Group) Recorder() *Recorder { return g.recorder }

// Addresses returns the bound addresses.
func (g *Group) Addresses() Addresses {
	a := Addresses{Admin: g.admin.Addr().String(), Upstreams: []BoundUpstream{}}
	for _, u := range g.upstreams {
		a.Upstreams = append(a.Upstreams, BoundUpstream{
			Name:          u.config.Name,
			Address:       u.port.address,
			Pool:          u.config.Pool,
			Region:        u.config.Region,
			FailureDomain: u.config.FailureDomain,
			Slots:         u.config.Slots,
		})
	}
	return a
}

// register adds an upstream to the platform's host list with the given state.
func (g *Group) register(u *Upstream, state store.HostState) error {
	if g.platform == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(u.port.address)
	if err != nil {
		return eris.Wrap(err, "bound address")
	}
	body, err := json.Marshal(store.ListedHost{
		Name:          string(u.config.Name),
		Role:          store.RoleUpstream,
		Pool:          u.config.Pool,
		Address:       address,
		Region:        u.config.Region,
		FailureDomain: u.config.FailureDomain,
		Slots:         u.config.Slots,
		State:         state,
	})
	if err != nil {
		return eris.Wrap(err, "host list entry")
	}
	return g.sendRegistration(u.config.Name, body)
}

func (g *Group) sendRegistration(name fleet.Upstream, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	url := "http://" + g.platform + "/admin/hosts/" + string(name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "registration")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "registration")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxText))
		return &RegistrationError{Upstream: name, Status: response.StatusCode, Detail: string(detail)}
	}
	return nil
}
