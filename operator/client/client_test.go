package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.Listener.Addr().String()
}

// serveAnswer starts a host that answers every request in the same way.
func serveAnswer(t *testing.T, status int, body any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// serveAborted starts a host that closes the connection after it read the request.
func serveAborted(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a client that fails because one host is down or unavailable,
// although another can answer.
func TestNextHostIsTried(t *testing.T) {
	unavailable := serveAnswer(t, 503, operator.Failure{Kind: operator.FailureUnavailable, Error: "majority"})
	c := New(Config{Hosts: []string{closedAddress(t), unavailable, serveAnswer(t, 200, operator.Applied{Revision: 4})}})
	applied, err := c.Apply(context.Background(), nil)
	require.NoError(t, err)
	require.Equal(t, fleet.Revision(4), applied.Revision)
	_, err = New(Config{Hosts: []string{closedAddress(t)}}).Notes(context.Background())
	var unreachable *UnreachableError
	require.True(t, errors.As(err, &unreachable))
}

// Guards against reporting a note as not accepted when the response was lost.
func TestLostAnswerIsUndecided(t *testing.T) {
	unavailable := serveAnswer(t, 503, operator.Failure{Kind: operator.FailureUnavailable, Error: "majority"})
	_, err := New(Config{Hosts: []string{serveAborted(t), unavailable, closedAddress(t)}}).Apply(context.Background(), nil)
	var undecided *UndecidedError
	require.True(t, errors.As(err, &undecided), "%v", err)
	_, err = New(Config{Hosts: []string{closedAddress(t)}}).Apply(context.Background(), nil)
	require.False(t, errors.As(err, &undecided), "%v", err)
}

// Guards against retrying a refused request at another host.
func TestRefusalIsFinal(t *testing.T) {
	refusing := serveAnswer(t, 422, operator.Failure{Kind: operator.FailureNoteInvalid, Error: "problem"})
	_, err := New(Config{Hosts: []string{refusing, serveAnswer(t, 200, operator.Applied{})}}).Apply(context.Background(), nil)
	refused, ok := asFailureError(err)
	require.True(t, ok)
	require.Equal(t, operator.FailureNoteInvalid, refused.Failure.Kind)
}

// Guards against a wait that ends without listing the hosts that are behind, and
// against one that waits for a host that is being retired.
func TestAwaitRevisionNamesHosts(t *testing.T) {
	lagging := serveAnswer(t, 200, operator.Status{Host: "b", Revision: 3})
	contact := netip.MustParseAddrPort(lagging)
	members := []fleet.ViewMember{
		{Member: fleet.Member{Host: "a"}, State: fleet.StateActive},
		{Member: fleet.Member{Host: "b"}, State: fleet.StateActive},
		{Member: fleet.Member{Host: "c"}, State: fleet.StateActive},
		{Member: fleet.Member{Host: "d"}, State: fleet.StateRetiring},
	}
	first := serveAnswer(t, 200, operator.Status{Host: "a", Revision: 4, Members: members, Operators: map[fleet.HostID]netip.AddrPort{"b": contact}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err := New(Config{Hosts: []string{first}}).AwaitRevision(ctx, 4, func(p Progress) {
		require.Equal(t, Progress{InForce: 1, Hosts: 3}, p)
		cancel()
	})
	var notInForce *NotInForceError
	require.True(t, errors.As(err, &notInForce), "%v", err)
	require.Len(t, notInForce.Behind, 2)
	require.Equal(t, []fleet.HostID{"b", "c"}, []fleet.HostID{notInForce.Behind[0].Host, notInForce.Behind[1].Host})
}

// Guards against summing values of which each host reports the total, and against
// not summing values that each host reports only for itself.
func TestSummaryCombinesHosts(t *testing.T) {
	host := func(id fleet.HostID, alerts ...operator.Alert) HostStatus {
		return HostStatus{Peer: Peer{Host: id}, Status: &operator.Status{
			Host: id, Revision: 2, AlertEvaluator: "a", Alerts: alerts,
			Shares:   []operator.Share{{Customer: "c", Rate: 10, Fraction: 0.25, Admitted: 1}},
			Capacity: []operator.Capacity{{Pool: "p", Region: "r", Slots: 8, Upstreams: 2, InFlight: 1}},
			Shifts:   []operator.Shift{{Route: "x", From: "r", To: "s", PerSecond: 2}},
		}}
	}
	s := Summarize(Cell{Hosts: []HostStatus{host("a", operator.Alert{Name: "n"}), host("b", operator.Alert{Name: "n"})}})
	require.Len(t, s.Alerts, 1)
	require.Equal(t, fleet.HostID("a"), s.AlertEvaluator)
	require.Equal(t, 10.0, s.Customers[0].Rate)
	require.Equal(t, []float64{0.5, 2}, []float64{s.Customers[0].Fraction, s.Customers[0].Admitted})
	require.Equal(t, CapacitySummary{Pool: "p", Region: "r", Slots: 8, Upstreams: 2, InFlight: 2, Headroom: 0.75}, s.Capacity[0])
	require.Equal(t, 4.0, s.Shifts[0].PerSecond)
}
