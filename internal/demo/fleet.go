package demo

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/store"
)

const (
	// readyTimeout bounds the wait until every host is ready.
	readyTimeout        = 20 * time.Second
	certificateLifetime = 24 * time.Hour
	exitCodeListen      = 3
	listenAttempts      = 3
	operatorsFile       = "operators"
	authorityName       = "catkinspring demo"
	secretMode          = 0o600
	directoryMode       = 0o700
	recordsPerRegion    = 100_000
)

// Options holds the paths of the programs and the directory for files.
type Options struct {
	// Binary is the path of catkinspring and Standin that of standin.
	Binary  string
	Standin string
	// Command is the subcommand of Binary that runs an entry host; "serve" if empty.
	Command string
	// Directory receives all files. If it is empty, Run and Keep use a temporary one.
	Directory string
}

// Host is an entry host of the fleet.
type Host struct {
	ID        fleet.HostID
	Region    fleet.Region
	Domain    fleet.FailureDomain
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Settings  string
	Process   *Process
}

// Fleet is a running fleet with its stand-ins.
type Fleet struct {
	Spec
	Options
	Launcher *Launcher
	// Platform is the address of the platform stand-in.
	Platform  string
	Upstreams []upstream.Addresses
	Hosts     []*Host
	Keys      map[fleet.Customer][]keys.Key

	portAllocator      portAllocator
	operatorCredential string
	authority          *peer.Authority
}

// NewFleet writes credentials, certificates and keys. The caller must call Close.
func NewFleet(spec Spec, options Options) (*Fleet, error) {
	f := &Fleet{
		Spec: spec, Options: options, Launcher: NewLauncher(options.Directory),
		Keys: map[fleet.Customer][]keys.Key{}, operatorCredential: uuid.NewString(),
	}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() error {
	for _, name := range []string{"keys", "tls"} {
		if err := os.MkdirAll(f.path(name), directoryMode); err != nil {
			return eris.Wrap(err, "directory")
		}
	}
	if err := os.WriteFile(f.path(operatorsFile), []byte(f.operatorCredential), secretMode); err != nil {
		return eris.Wrap(err, "operators' credential")
	}
	authority, err := peer.NewAuthority(authorityName, time.Now(), certificateLifetime)
	if err != nil {
		return err
	}
	f.authority = authority
	if err := authority.Write(f.path("tls")); err != nil {
		return err
	}
	return f.makeKeys()
}

// KeyFile returns the path of the nth key of a customer, counted from 0.
func (f *Fleet) KeyFile(customer fleet.Customer, n int) string {
	return f.path("keys", fmt.Sprintf("%s-%d", customer, n+1))
}

func (f *Fleet) makeKeys() error {
	for _, c := range f.Customers {
		for n := range c.Keys {
			key := keys.Generate()
			f.Keys[c.ID] = append(f.Keys[c.ID], key)
			if err := os.WriteFile(f.KeyFile(c.ID, n), []byte(key.Reveal()), secretMode); err != nil {
				return eris.Wrap(err, "customer's key")
			}
		}
	}
	return nil
}

func (f *Fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.Directory}, parts...)...)
}

// Close ends every process of the fleet.
func (f *Fleet) Close() { f.Launcher.Close() }

// StartPlatform starts the platform stand-in. With an empty address, a port is
// chosen.
func (f *Fleet) StartPlatform(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	p, err := f.Launcher.Start("platform", f.Standin, "platform", "--address", address, "--host-lag", f.HostLag.String())
	if err != nil {
		return err
	}
	var bound struct {
		Address string `json:"address"`
	}
	if err := p.readAnnouncement(&bound); err != nil {
		return err
	}
	f.Platform = bound.Address
	return nil
}

// StartUpstreams starts one process per region, which holds all its upstreams.
func (f *Fleet) StartUpstreams() error {
	for _, region := range f.Regions {
		text, err := json.Marshal(f.upstreamConfigs(region))
		if err != nil {
			return eris.Wrap(err, "upstream configuration")
		}
		file := f.path("upstreams-" + string(region) + ".json")
		if err := os.WriteFile(file, text, secretMode); err != nil {
			return eris.Wrap(err, "upstream configuration")
		}
		p, err := f.Launcher.Start("upstreams-"+string(region), f.Standin, "upstream", file,
			"--platform", f.Platform, "--records", fmt.Sprint(recordsPerRegion))
		if err != nil {
			return err
		}
		var addresses upstream.Addresses
		if err := p.readAnnouncement(&addresses); err != nil {
			return err
		}
		f.Upstreams = append(f.Upstreams, addresses)
	}
	return nil
}

// upstreamConfigs returns the upstreams of a region. The upstreams of a pool are
// assigned round-robin to regions, and within a region to failure domains.
func (f *Fleet) upstreamConfigs(region fleet.Region) []upstream.Config {
	var configs []upstream.Config
	for _, pool := range f.Pools {
		for n := range pool.Upstreams {
			if f.Regions[n%len(f.Regions)] != region {
				continue
			}
			configs = append(configs, upstream.Config{
				Name:   fleet.Upstream(fmt.Sprintf("%s-%02d", pool.Name, n+1)),
				Pool:   pool.Name,
				Region: region, FailureDomain: f.domain(region, n/len(f.Regions)%f.Domains),
				Slots: pool.Slots, ServiceMillis: pool.ServiceMillis, ServiceSigma: pool.ServiceSigma,
				ColdFactor: pool.ColdFactor, ColdMillis: pool.ColdMillis,
				ConnectionCostMillis: 1, ProbeCostMillis: pool.ProbeMillis, Seed: 1,
			})
		}
	}
	return configs
}

// Admin returns the admin address of the process that runs an upstream.
func (f *Fleet) Admin(name fleet.Upstream) string {
	for _, addresses := range f.Upstreams {
		for _, bound := range addresses.Upstreams {
			if bound.Name == name {
				return addresses.Admin
			}
		}
	}
	return ""
}

// AddHosts prepares all entry hosts and adds them to the platform's host list.
func (f *Fleet) AddHosts(ctx context.Context) error {
	for _, region := range f.Regions {
		for d := range f.Domains {
			for n := range f.HostsPerDomain {
				domain := f.domain(region, d)
				host := &Host{ID: fleet.HostID(fmt.Sprintf("%s-%d", domain, n+1)), Region: region, Domain: domain}
				if err := f.PrepareHost(host); err != nil {
					return err
				}
				if err := f.RegisterHost(ctx, host); err != nil {
					return err
				}
				f.Hosts = append(f.Hosts, host)
			}
		}
	}
	return nil
}

// PrepareHost allocates ports and writes certificate and settings.
func (f *Fleet) PrepareHost(h *Host) error {
	for _, address := range []*netip.AddrPort{&h.Callers, &h.Peers, &h.Operators} {
		freePort, err := f.portAllocator.freePort()
		if err != nil {
			return err
		}
		*address = freePort
	}
	files, err := f.authority.IssueHost(h.ID, f.path("tls"), time.Now(), certificateLifetime)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(f.hostSettings(h, files), "", "  ")
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	h.Settings = f.path(string(h.ID) + ".jsonc")
	return eris.Wrap(os.WriteFile(h.Settings, text, secretMode), "settings")
}

// RegisterHost adds a host to the platform's host list.
func (f *Fleet) RegisterHost(ctx context.Context, h *Host) error {
	listed := store.ListedHost{
		Name: string(h.ID), Role: store.RoleEntry, Address: h.Callers, PeerAddress: h.Peers,
		Region: h.Region, FailureDomain: h.Domain, State: store.HostLive,
	}
	return call(ctx, http.MethodPut, "http://"+f.Platform+"/admin/hosts/"+string(h.ID)+"?immediate=true", "", listed, nil)
}

// StartHosts starts all entry hosts. A host whose port was taken by another program
// in the meantime is restarted on new ports.
func (f *Fleet) StartHosts(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		for range listenAttempts {
			if err := f.awaitListening(ctx, h); err == nil {
				break
			} else if !h.portTaken() {
				return err
			}
			if err := f.restartOnNewPorts(ctx, h); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartHost starts one entry host.
func (f *Fleet) StartHost(h *Host) error {
	p, err := f.Launcher.Start(string(h.ID), f.Binary, cmp.Or(f.Command, "serve"), h.Settings)
	h.Process = p
	return err
}

func (f *Fleet) awaitListening(ctx context.Context, h *Host) error {
	return Eventually(ctx, readyTimeout, string(h.ID)+" listens", func() error {
		if h.ended() {
			return h.Process.newError(fmt.Sprintf("ended with code %d", h.Process.ExitCode()))
		}
		return call(ctx, http.MethodGet, h.operatorsURL("/livez"), "", nil, nil)
	})
}

func (f *Fleet) restartOnNewPorts(ctx context.Context, h *Host) error {
	if err := f.PrepareHost(h); err != nil {
		return err
	}
	if err := f.RegisterHost(ctx, h); err != nil {
		return err
	}
	return f.StartHost(h)
}

func (h *Host) ended() bool {
	select {
	case <-h.Process.Done():
		return true
	default:
		return false
	}
}

func (h *Host) portTaken() bool { return h.ended() && h.Process.ExitCode() == exitCodeListen }

func (h *Host) operatorsURL(path string) string { return "http://" + h.Operators.String() + path }

// Status returns the status of a host.
func (f *Fleet) Status(ctx context.Context, h *Host) (operator.Status, error) {
	var s operator.Status
	err := call(ctx, http.MethodGet, h.operatorsURL("/v1/status"), f.operatorCredential, nil, &s)
	return s, err
}

// RevisionError reports a host with an older revision than expected.
type RevisionError struct {
	Host fleet.HostID
	Has  fleet.Revision
	Want fleet.Revision
}

func (e *RevisionError) Error() string {
	return fmt.Sprintf("host %s has revision %d, not %d", e.Host, e.Has, e.Want)
}

// AwaitRevision waits until all given hosts have applied a revision.
func (f *Fleet) AwaitRevision(ctx context.Context, hosts []*Host, want fleet.Revision) error {
	return Eventually(ctx, readyTimeout, "revision is in force everywhere", func() error {
		for _, h := range hosts {
			s, err := f.Status(ctx, h)
			if err != nil {
				return err
			}
			if s.Revision < want {
				return &RevisionError{Host: h.ID, Has: s.Revision, Want: want}
			}
		}
		return nil
	})
}

// AwaitReady waits until all given hosts are ready.
func (f *Fleet) AwaitReady(ctx context.Context, hosts []*Host) error {
	return Eventually(ctx, readyTimeout, "hosts are ready", func() error {
		for _, h := range hosts {
			if h.ended() {
				return h.Process.newError(fmt.Sprintf("ended with code %d", h.Process.ExitCode()))
			}
			if err := call(ctx, http.MethodGet, h.operatorsURL("/readyz"), "", nil, nil); err != nil {
				return err
			}
		}
		return nil
	})
}

// FindHost returns the host with an ID, or nil.
func (f *Fleet) FindHost(id fleet.HostID) *Host {
	i := slices.IndexFunc(f.Hosts, func(h *Host) bool { return h.ID == id })
	if i < 0 {
		return nil
	}
	return f.Hosts[i]
}
