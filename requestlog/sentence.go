package requestlog

import (
	"fmt"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

func millis(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// sentence describes the step. attempt is the number of the attempt, from 1.
func (s *step) sentence(localRegion fleet.Region, attempt int) string {
	switch s.kind {
	case stepAdmission:
		if s.duration < time.Millisecond {
			return "The customer's rate allowed it at once."
		}
		return "It waited " + millis(s.duration) + " for a token of the customer's rate from another host and got one."
	case stepClaim:
		return "The owner of the operation's id granted the claim after " + millis(s.duration) + ", so this host alone may run the operation."
	case stepReplay:
		return "The operation ran before. Its response was repeated after " + millis(s.duration) + " and nothing ran again."
	case stepNoRetry:
		return "No further attempt was made: " + s.reason + "."
	}
	target := fmt.Sprintf("upstream %s in %s/%s", s.upstream, s.location.Region, s.location.FailureDomain)
	if s.location.Region != localRegion {
		target += ", shifted there because no upstream of region " + string(localRegion) + " had room"
	}
	writeNote := ""
	if !s.requestWritten {
		writeNote = " Nothing of the request was written."
	}
	brokenNote := ""
	if s.reason != "" {
		brokenNote = " The response was broken: " + s.reason + "."
	}
	return fmt.Sprintf("Attempt %d went to %s: %s after %s.%s%s", attempt, target, resultTexts[s.result], millis(s.duration), writeNote, brokenNote)
}

// resultTexts are the clauses that describe the results of attempts.
var resultTexts = map[traffic.Result]string{
	traffic.ResultUnused:          "it was stopped by the last check before the write",
	traffic.ResultAnswered:        "the upstream answered completely",
	traffic.ResultShed:            "the upstream was overloaded and said that it did not run the request",
	traffic.ResultDraining:        "the upstream was leaving and said that it did not run the request",
	traffic.ResultConnectFailed:   "no connection could be opened",
	traffic.ResultConnectionFault: "the connection was silent or broken while the upstream itself worked",
	traffic.ResultFailed:          "the exchange broke off or the response was not complete",
	traffic.ResultTimedOut:        "no complete response came in time",
	traffic.ResultCrashSuspected:  "the upstream stopped while it ran the request, which may have crashed it",
	traffic.ResultCancelled:       "the caller went away",
}

var outcomeTexts = map[problem.Outcome]string{
	problem.OutcomeNotRun:  "Nothing ran.",
	problem.OutcomeUnknown: "It is unknown whether it ran.",
	problem.OutcomeRun:     "It ran once.",
}

// sentence describes how the request ended and why.
func (e *End) sentence(t *Trace) string {
	var text strings.Builder
	fmt.Fprintf(&text, "The request%s%s ", optionalPhrase(" of customer ", string(t.Customer)), optionalPhrase(" on route ", string(t.Route)))
	if e.Kind == "" {
		fmt.Fprintf(&text, "was answered with status %d after %s. It ran once.", e.Status, millis(e.Elapsed))
		return text.String()
	}
	fmt.Fprintf(&text, "was refused with status %d (%s) after %s: %s. %s",
		e.Status, e.Kind, millis(e.Elapsed), strings.TrimSuffix(e.Detail, "."), outcomeTexts[e.Outcome])
	return text.String()
}

func optionalPhrase(preposition, name string) string {
	if name == "" {
		return ""
	}
	return preposition + name
}

// refusalReasons explain the kinds of refusal to an operator.
var refusalReasons = map[problem.Kind]string{
	problem.KindKeyMissing:            "The route is keyed and no usable Authorization header came with the request.",
	problem.KindKeyInvalid:            "No key in force on the host matched: the key is unknown, mistyped or withdrawn. Key ids in force are listed by note show.",
	problem.KindKeySuspended:          "A release note that withdraws the key was announced and not yet decided. The key works again if the note is not accepted.",
	problem.KindCustomerNotAllowed:    "The route's list of customers does not name the key's customer.",
	problem.KindRouteUnknown:          "No route in force on the host has a matching path prefix.",
	problem.KindIdempotencyKeyMissing: "The route is at-most-once and needs an Idempotency-Key.",
	problem.KindIdempotencyKeyReused:  "Another request was sent with the same Idempotency-Key before.",
	problem.KindOperationRunning:      "The first attempt of the operation had not ended; the same key may be asked again.",
	problem.KindOperationUnknown:      "The host that held the claim stopped, so nobody can tell whether the operation ran.",
	problem.KindOperationIDTime:       "The time in the operation's id is too far ahead of the owner's clock.",
	problem.KindClaimUnavailable:      "The owner of the operation's id could not be reached or could not commit the claim.",
	problem.KindRateExceeded:          "The customer's rate and burst, counted over all hosts, were used up, and no host lent a token within 250 ms.",
	problem.KindNoCapacity:            "No upstream of the pool had room, and the cap on shifts between regions left none elsewhere.",
	problem.KindQueueFull:             "Too many requests of the customer, or of the host, waited for an upstream already.",
	problem.KindQuarantined:           "Requests with the same content were in flight at three crashes of upstreams and are refused on all hosts for a minute or longer.",
	problem.KindLeaseExpired:          "The host had no valid lease: it reached neither the store nor a majority of its cell.",
	problem.KindDraining:              "The host was in a planned stop.",
	problem.KindNotReady:              "The host had no configuration yet.",
	problem.KindUpstreamFailed:        "The upstreams that were tried failed.",
	problem.KindResponseTruncated:     "The upstream's response was shorter than announced and is never passed on.",
	problem.KindDeadlineExceeded:      "The bound of the caller or of the route was reached, or the host ended the request at the end of a planned stop.",
}

// Reason returns the explanation of a kind of refusal; empty for an unknown kind.
func Reason(kind problem.Kind) string { return refusalReasons[kind] }
