package dispatch

import (
	"context"
	"errors"

	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// refusal returns the problem for a request that got no attempt or no retry. If an
// earlier attempt may have run, the outcome is unknown whatever the refusal says.
func (a *attempts) refusal(err error) error {
	var refused *problem.Error
	if !errors.As(err, &refused) {
		refused = problem.NotRun(problem.KindNoCapacity, "no upstream could be chosen").
			WithRetryAfter(capacityRetryAfter).WithCause(err)
		if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
			refused = problem.NotRun(problem.KindDeadlineExceeded, "no upstream became free in time").WithCause(err)
		}
	}
	if !a.unknown {
		return refused
	}
	unknown := *refused
	unknown.Outcome = problem.OutcomeUnknown
	unknown.Detail = "an earlier attempt may have run; " + refused.Detail
	return &unknown
}

// failure returns the problem for the last attempt.
func (a *attempts) failure(out outcome) error {
	outcome := problem.OutcomeNotRun
	if a.unknown {
		outcome = problem.OutcomeUnknown
	}
	kind, detail := a.describe(out)
	err := problem.New(kind, outcome, detail).WithCause(out.err)
	if kind == problem.KindNoCapacity {
		err.RetryAfter = capacityRetryAfter
	}
	return err
}

func (a *attempts) describe(out outcome) (problem.Kind, string) {
	var truncated *TruncatedResponseError
	var undelimited *UndelimitedResponseError
	switch {
	case out.result == traffic.ResultShed:
		return problem.KindNoCapacity, "the upstreams that were asked are overloaded"
	case out.result == traffic.ResultDraining:
		return problem.KindNoCapacity, "the upstreams that were asked are leaving"
	case out.result == traffic.ResultCancelled:
		return problem.KindDeadlineExceeded, "the caller disconnected"
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded), isTimeout(out.err):
		return problem.KindDeadlineExceeded, "the upstream did not answer in time"
	case out.result == traffic.ResultConnectFailed:
		return problem.KindUpstreamFailed, "no connection to the upstream could be opened"
	case errors.As(out.err, &truncated), errors.As(out.err, &undelimited):
		return problem.KindResponseTruncated, "the upstream's response was not complete"
	default:
		return problem.KindUpstreamFailed, "the exchange with the upstream failed"
	}
}
