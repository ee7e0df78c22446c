package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// Limits of answers, in bytes.
const (
	defaultPayload = 64
	// maxStoredAnswer limits the answer that is kept for FaultCrossed.
	maxStoredAnswer = 64 << 10
)

// KeyPrefix is the prefix of customer keys. A value that contains it is considered
// a possible key.
const KeyPrefix = "ck_"

// Answer is the body of an answer without a fault.
type Answer struct {
	RequestID      string         `json:"requestId"`
	IdempotencyKey string         `json:"idempotencyKey"`
	Upstream       fleet.Upstream `json:"upstream"`
	// Target is the path with its query as the upstream received it.
	Target string `json:"target"`
	// BodyHash is the xxHash64 of the request body in hexadecimal.
	BodyHash string `json:"bodyHash"`
	// Payload is Payload(Target, size).
	Payload string `json:"payload"`
}

// Payload returns the payload of the answer to a request for a target. A shorter
// payload is a prefix of a longer one for the same target.
func Payload(target string, size int) string {
	var b strings.Builder
	b.Grow(size + 16)
	for block := 0; b.Len() < size; block++ {
		fmt.Fprintf(&b, "%016x", xxhash.Sum64String(target+"#"+strconv.Itoa(block)))
	}
	return b.String()[:size]
}

// storedAnswer is an encoded answer and the ID of its request.
type storedAnswer struct {
	requestID string
	body      []byte
}

// payloadSize parses the query parameter "size".
func payloadSize(text string) (int, bool) {
	if text == "" {
		return defaultPayload, true
	}
	size, err := strconv.Atoi(text)
	return size, err == nil && size >= 0 && size <= maxBody
}

func (u *Upstream) normalAnswer(job *workRequest) storedAnswer {
	header := job.request.Header
	answer := Answer{
		RequestID:      header.Get(RequestIDHeader),
		IdempotencyKey: header.Get(IdempotencyKeyHeader),
		Upstream:       u.config.Name,
		Target:         job.target,
		BodyHash:       bodyHash(job.body),
		Payload:        Payload(job.target, job.size),
	}
	// Encoding a struct of strings cannot fail.
	body, _ := json.Marshal(answer)
	return storedAnswer{requestID: answer.RequestID, body: body}
}

// answer sends the answer to a completed run and applies the fault to it.
func (u *Upstream) answer(w http.ResponseWriter, job *workRequest, fault Fault) {
	own := u.normalAnswer(job)
	previous := u.swapLastAnswer(own)
	if fault.DelayMillis > 0 && fault.Kind != FaultCrash {
		if job.wait(u.after(fault.delay()), nil) != notInterrupted {
			panic(http.ErrAbortHandler)
		}
	}
	switch fault.Kind {
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultReset:
		job.conn.resetOnClose()
		panic(http.ErrAbortHandler)
	case FaultStall:
		job.blockUntilClosed()
		panic(http.ErrAbortHandler)
	case FaultShort:
		writeAnswer(w, http.StatusOK, own, len(own.body)/2)
	case FaultError:
		writeAnswer(w, http.StatusInternalServerError, own, len(own.body))
	case FaultCrossed:
		crossed := previous.otherThan(own.requestID)
		writeAnswer(w, http.StatusOK, crossed, len(crossed.body))
	case FaultTwice:
		writeAnswer(w, http.StatusOK, own, len(own.body))
		repeatAnswer(w, job, own)
	default:
		writeAnswer(w, http.StatusOK, own, len(own.body))
	}
}

// swapLastAnswer stores the answer as the last one and returns the previous one.
func (u *Upstream) swapLastAnswer(own storedAnswer) storedAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.lastAnswer
	if len(own.body) <= maxStoredAnswer {
		u.lastAnswer = own
	}
	return previous
}

// otherThan returns the stored answer if it belongs to another request, otherwise
// a generated answer to a request that does not exist.
func (s storedAnswer) otherThan(requestID string) storedAnswer {
	if len(s.body) > 0 && s.requestID != requestID {
		return s
	}
	other := Answer{RequestID: "other-than-" + requestID, Payload: Payload("other", defaultPayload)}
	// Encoding a struct of strings cannot fail.
	body, _ := json.Marshal(other)
	return storedAnswer{requestID: other.RequestID, body: body}
}

// writeAnswer sends the Content-Length of the whole body but only the first sent
// bytes. If that truncates the body, net/http closes the connection.
func writeAnswer(w http.ResponseWriter, status int, answer storedAnswer, sent int) {
	w.Header().Set(RequestIDHeader, answer.requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	w.WriteHeader(status)
	// The client may have disconnected, which is not an error here.
	_, _ = w.Write(answer.body[:sent])
}

// repeatAnswer sends the answer a second time, before the next request on the
// connection is read.
func repeatAnswer(w http.ResponseWriter, job *workRequest, answer storedAnswer) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		RequestIDHeader, answer.requestID, len(answer.body))
	// The client may have disconnected, which is not an error here.
	_, _ = job.conn.Write(append([]byte(head), answer.body...))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected, which is not an error here.
	_ = json.NewEncoder(w).Encode(value)
}

// findKeys returns the parts of a request that look like a customer key, each as
// "name: value".
func findKeys(r *http.Request, target string, body []byte) []string {
	var found []string
	check := func(name, value string) {
		if len(found) < maxKeysSeen && strings.Contains(strings.ToLower(name+"\n"+value), KeyPrefix) {
			found = append(found, truncate(name)+": "+truncate(value))
		}
	}
	for _, fields := range []http.Header{r.Header, r.Trailer} {
		for name, values := range fields {
			for _, value := range values {
				check(name, value)
			}
		}
	}
	check("Host", r.Host)
	if unescaped, err := url.QueryUnescape(target); err == nil {
		target = unescaped
	}
	check("target", target)
	if start := strings.Index(string(body), KeyPrefix); start >= 0 {
		check("body", string(body[start:min(len(body), start+maxText)]))
	}
	return found
}

// truncate shortens a recorded text to maxText bytes.
func truncate(text string) string {
	if len(text) > maxText {
		return text[:maxText]
	}
	return text
}
