package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/peer"
)

// noteTimeout bounds the decision on a release note.
const noteTimeout = 30 * time.Second

// object is a part of a settings file.
type object map[string]any

// hostSettings returns the settings file of a host.
func (f *Fleet) hostSettings(h *Host, files peer.Files) object {
	regions := object{}
	for i, from := range f.Regions {
		for _, to := range f.Regions[i+1:] {
			regions[string(from+"/"+to)] = f.RegionMS
		}
	}
	return object{
		"host":      object{"id": h.ID, "region": h.Region, "failureDomain": h.Domain},
		"listen":    object{"callers": h.Callers, "peers": h.Peers, "operators": h.Operators},
		"fleetTLS":  object{"ca": files.CA, "certificate": files.Certificate, "key": files.Key},
		"platform":  object{"address": f.Platform},
		"lease":     object{"duration": f.Lease.String()},
		"lookup":    object{"maxAge": f.MaxAge.String()},
		"drain":     object{"timeout": f.DrainTimeout.String()},
		"operators": object{"credential": object{"file": f.path(operatorsFile)}},
		"delays":    object{"regions": regions},
	}
}

// FirstNote returns the release note with everything of the spec.
func (f *Fleet) FirstNote() any {
	var customers []configuration.Customer
	for _, spec := range f.Customers {
		c := configuration.Customer{ID: spec.ID, Rate: spec.Rate, Burst: spec.Burst, Weight: spec.Weight}
		for _, key := range f.Keys[spec.ID] {
			c.Keys = append(c.Keys, configuration.Key{ID: key.ID(), Digest: key.Digest().Hex()})
		}
		customers = append(customers, c)
	}
	return object{
		"id": "demo-start",
		"added": object{
			"routes": f.Routes, "customers": customers, "clientBlocks": f.Blocks,
			"alertRules": []string{`alert region-full if headroom{region="ostland"} < 10% for 30s severity page`},
		},
	}
}

// Apply sends a release note to a host.
func (f *Fleet) Apply(ctx context.Context, h *Host, note any) (operator.Applied, error) {
	var applied operator.Applied
	err := callWithin(ctx, noteTimeout, http.MethodPost, h.operatorsURL("/v1/notes"), f.operators, note, &applied)
	return applied, err
}

// WithdrawKey withdraws a key and returns the time at which the acceptance was
// known.
func (f *Fleet) WithdrawKey(ctx context.Context, h *Host, customer fleet.Customer, n int) (time.Time, error) {
	note := object{"id": "demo-withdraw", "withdrawn": object{"keys": []string{f.Keys[customer][n].ID()}}}
	_, err := f.Apply(ctx, h, note)
	return time.Now(), err
}
