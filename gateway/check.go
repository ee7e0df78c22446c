package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/problem"
)

// authenticate identifies the customer by the key of a request. An open route
// needs no key and does not check one; the key is parsed only so that it can be
// removed before the request is forwarded.
func (g *Gateway) authenticate(snapshot *configuration.Snapshot, route *configuration.Route, header *fasthttp.RequestHeader) (identity, error) {
	token, found := bearerToken(header)
	key, err := keys.Parse(token)
	if route.Access == configuration.AccessOpen {
		return identity{key: key}, nil
	}
	if !found {
		return identity{}, problem.NotRun(problem.KindKeyMissing, "this route needs one Authorization header with a Bearer key")
	}
	if err != nil {
		return identity{}, invalidKey()
	}
	caller := identity{key: key, digest: key.Digest()}
	owner, err := g.checkKey(snapshot, &caller)
	if err != nil {
		return identity{}, err
	}
	caller.customer = owner
	return caller, nil
}

// checkKey returns the customer that owns the key in a configuration.
func (g *Gateway) checkKey(snapshot *configuration.Snapshot, caller *identity) (*configuration.Customer, error) {
	owner, ok := snapshot.KeyOwner(caller.key.ID())
	// The digests are also compared for unknown IDs, against the zero digest.
	matches := caller.digest.Matches(owner.Key.Digest)
	if !ok || !matches {
		return nil, invalidKey()
	}
	if g.KeySuspended(caller.key.ID()) {
		return nil, problem.NotRun(problem.KindKeySuspended, "the key may be withdrawn at this moment; repeat soon")
	}
	return owner.Customer, nil
}

func invalidKey() *problem.Error {
	return problem.NotRun(problem.KindKeyInvalid, "the key is not valid")
}

// checkTimeLeft refuses a request that would probably outlast a planned stop.
func (f *forwarding) checkTimeLeft(timeout time.Duration) error {
	if !f.g.StopPlan().Admits(f.g.Clock.Now().Instant, timeout) {
		return problem.NotRun(problem.KindDraining, "the entry host is stopping and has no time left for the request; use another one")
	}
	return nil
}

// lastCheck repeats the checks immediately before the request is written to an
// upstream, because the configuration, the lease, the host's share of the rate, the
// claim or the time that a planned stop leaves may have changed while it waited.
func (f *forwarding) lastCheck() error {
	if err := f.checkTimeLeft(time.Until(f.request.Deadline)); err != nil {
		return err
	}
	snapshot := f.g.Snapshot()
	if snapshot == nil {
		return problem.NotRun(problem.KindNotReady, "the entry host has no configuration")
	}
	route := snapshot.Route(f.route.Name)
	if route == nil || route.Access != f.route.Access || route.Semantics != f.route.Semantics {
		return problem.NotRun(problem.KindRouteUnknown, "the route changed while the request waited")
	}
	if route.Access != configuration.AccessOpen {
		if err := f.checkCustomer(snapshot, route); err != nil {
			return err
		}
	}
	if err := f.checkLease(); err != nil {
		return err
	}
	if f.admission != nil && !f.admission.Valid() {
		return problem.NotRun(problem.KindLeaseExpired, "the host's share of the customer's rate was withdrawn while the request waited")
	}
	if f.claim != nil && !f.claim.Valid() {
		return problem.NotRun(problem.KindClaimUnavailable, "the claim on the operation ended while the request waited")
	}
	if f.g.StopPlan() != nil && !f.request.Written() {
		f.g.stop.late.Add(1)
	}
	return nil
}

func (f *forwarding) checkCustomer(snapshot *configuration.Snapshot, route *configuration.Route) error {
	customer, err := f.g.checkKey(snapshot, &f.caller)
	if err != nil {
		return err
	}
	if customer.ID != f.caller.customer.ID || !route.Allows(customer.ID) {
		return problem.NotRun(problem.KindCustomerNotAllowed, "the key's customer may no longer use this route")
	}
	return nil
}
