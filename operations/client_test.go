package operations

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// clientRig answers the inputs of a client with scripted decisions.
type clientRig struct {
	client     *Client
	now        machine.Instant
	leaseUntil machine.Instant
	queueFull  bool
	decisions  []Decided
	posted     []machine.Input
}

func (r *clientRig) Now() machine.Now            { return machine.Now{Instant: r.now} }
func (r *clientRig) ValidUntil() machine.Instant { return r.leaseUntil }

func (r *clientRig) post(in machine.Input) bool {
	if r.queueFull {
		return false
	}
	r.posted = append(r.posted, in)
	if b, ok := in.(Begin); ok {
		for _, d := range r.decisions {
			d.Attempt = b.Attempt
			r.client.Deliver(d)
		}
	}
	return true
}

func newClientRig(decisions ...Decided) *clientRig {
	r := &clientRig{leaseUntil: 10, decisions: decisions}
	r.client = NewClient(r.post, r, r, metrics.NewRegistry())
	return r
}

func (r *clientRig) claim(ctx context.Context) (traffic.Claim, *traffic.OperationResult, error) {
	return r.client.Claim(ctx, traffic.Operation{ID: operation("a"), Fingerprint: 1})
}

func (r *clientRig) endings() []Ending {
	var endings []Ending
	for _, in := range r.posted {
		if f, ok := in.(Finish); ok {
			endings = append(endings, f.Ending)
		}
	}
	return endings
}

// TestClaimEndsOnce guards against a claim that is both completed and released, and
// against one that counts as valid after the lease has expired or after a later
// owner refused it.
func TestClaimEndsOnce(t *testing.T) {
	r := newClientRig(Decided{Decision: DecisionGranted})
	held, _, err := r.claim(context.Background())
	require.NoError(t, err)
	require.True(t, held.Valid())
	r.now = 10
	require.False(t, held.Valid(), "after the lease has expired")
	r.now = 5
	r.client.Deliver(Decided{Attempt: 1, Decision: DecisionUnknown})
	require.False(t, held.Valid(), "refused by a later owner")
	r.queueFull = true
	held.Complete(traffic.OperationResult{Status: 200})
	held.Release()
	held.Abandon()
	require.Empty(t, r.endings())
	r.queueFull = false
	r.client.Flush()
	require.Equal(t, []Ending{EndingComplete}, r.endings())
}

// TestLateGrantAfterCancel guards against a claim that stays granted although its
// caller has cancelled: a grant that arrives late must be released.
func TestLateGrantAfterCancel(t *testing.T) {
	for _, decisions := range [][]Decided{nil, {{Decision: DecisionWaiting}}} {
		r := newClientRig(decisions...)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _, err := r.claim(ctx)
		var refused *problem.Error
		require.True(t, errors.As(err, &refused))
		want := problem.KindClaimUnavailable
		if decisions != nil {
			want = problem.KindOperationRunning
		}
		require.Equal(t, want, refused.Kind)
		r.client.Deliver(Decided{Attempt: 1, Decision: DecisionGranted})
		require.Equal(t, []Ending{EndingRelease, EndingRelease}, r.endings())
	}
}

// TestRefusals guards against a wrong outcome in a refusal: "not run" is allowed
// only if no attempt with the id ran.
func TestRefusals(t *testing.T) {
	body := &traffic.OperationResult{Status: 201, Body: []byte("x")}
	dropped := &traffic.OperationResult{Status: 201, BodyDropped: true}
	r := newClientRig(Decided{Decision: DecisionRan, Result: body})
	_, result, err := r.claim(context.Background())
	require.NoError(t, err)
	require.Equal(t, body, result)
	for _, c := range []struct {
		decided Decided
		kind    problem.Kind
		outcome problem.Outcome
	}{
		{Decided{Decision: DecisionRan, Result: dropped}, problem.KindOperationRan, problem.OutcomeRun},
		{Decided{Decision: DecisionRunning}, problem.KindOperationRunning, problem.OutcomeUnknown},
		{Decided{Decision: DecisionUnknown}, problem.KindOperationUnknown, problem.OutcomeUnknown},
		{Decided{Decision: DecisionMismatch}, problem.KindIdempotencyKeyReused, problem.OutcomeNotRun},
		{Decided{Decision: DecisionAhead}, problem.KindOperationIDTime, problem.OutcomeNotRun},
		{Decided{Decision: DecisionTooOld}, problem.KindOperationIDTime, problem.OutcomeUnknown},
		{Decided{Decision: DecisionFull}, problem.KindClaimUnavailable, problem.OutcomeNotRun},
		{Decided{Decision: DecisionUnavailable}, problem.KindClaimUnavailable, problem.OutcomeNotRun},
	} {
		_, _, err := newClientRig(c.decided).claim(context.Background())
		var refused *problem.Error
		require.True(t, errors.As(err, &refused))
		require.Equal(t, c.kind, refused.Kind)
		require.Equal(t, c.outcome, refused.Outcome, c.kind)
	}
	past := traffic.Operation{ID: operation("a"), Deadline: time.Unix(1, 0)}
	_, _, err = newClientRig(Decided{Decision: DecisionGranted}).client.Claim(context.Background(), past)
	require.Error(t, err, "a deadline that has passed")
}
