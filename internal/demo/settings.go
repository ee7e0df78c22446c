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

// noteTimeout bounds the wait for a release note to be accepted or rejected.
const noteTimeout = 30 * time.Second

// jsonObject is a JSON object of a settings file or request body.
type jsonObject map[string]any

// hostSettings returns the content of a host's settings file.
func (f *Fleet) hostSettings(h *Host, files peer.Files) jsonObject {
	regions := jsonObject{}
	for i, from := range f.Regions {
		for _, to := range f.Regions[i+1:] {
			regions[string(from+"/"+to)] = f.RegionMS
		}
	}
	return jsonObject{
		"host":      jsonObject{"id": h.ID, "region": h.Region, "failureDomain": h.Domain},
		"listen":    jsonObject{"callers": h.Callers, "peers": h.Peers, "operators": h.Operators},
		"fleetTLS":  jsonObject{"ca": files.CA, "certificate": files.Certificate, "key": files.Key},
		"platform":  jsonObject{"address": f.Platform},
		"lease":     jsonObject{"duration": f.Lease.String()},
		"lookup":    jsonObject{"maxAge": f.MaxAge.String()},
		"drain":     jsonObject{"timeout": f.DrainTimeout.String()},
		"operators": jsonObject{"credential": jsonObject{"file": f.path(operatorsFile)}},
		"delays":    jsonObject{"regions": regions},
	}
}

// FirstNote returns the release note that configures everything in the spec.
func (f *Fleet) FirstNote() any {
	var customers []configuration.Customer
	for _, spec := range f.Customers {
		c := configuration.Customer{ID: spec.ID, Rate: spec.Rate, Burst: spec.Burst, Weight: spec.Weight}
		for _, key := range f.Keys[spec.ID] {
			c.Keys = append(c.Keys, configuration.Key{ID: key.ID(), Digest: key.Digest().Hex()})
		}
		customers = append(customers, c)
	}
	return jsonObject{
		"id": "demo-start",
		"added": jsonObject{
			"routes": f.Routes, "customers": customers, "clientBlocks": f.Blocks,
			"alertRules": []string{`alert region-full if headroom{region="ostland"} < 10% for 30s severity page`},
		},
	}
}

// Apply sends a release note to a host.
func (f *Fleet) Apply(ctx context.Context, h *Host, note any) (operator.Applied, error) {
	var applied operator.Applied
	err := callWithin(ctx, noteTimeout, http.MethodPost, h.operatorsURL("/v1/notes"), f.operatorCredential, note, &applied)
	return applied, err
}

// WithdrawKey withdraws a key by index and returns the time at which the accepted
// note was acknowledged.
func (f *Fleet) WithdrawKey(ctx context.Context, h *Host, customer fleet.Customer, index int) (time.Time, error) {
	note := jsonObject{"id": "demo-withdraw", "withdrawn": jsonObject{"keys": []string{f.Keys[customer][index].ID()}}}
	_, err := f.Apply(ctx, h, note)
	return time.Now(), err
}
