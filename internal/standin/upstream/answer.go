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

// Bounds of answers.
const (
	defaultPayload = 64
	// maxStoredAnswer bounds the answer that an upstream keeps for crossed answers.
	maxStoredAnswer = 64 << 10
)

// KeyMark is the start of a customer's key. A value that contains it looks like a key.
const KeyPrefix = "ck_"

// Answer is the body of a normal answer.
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

// Payload returns the payload of an answer to a request for a target. A shorter
// payload is a prefix of a longer one.
func Payload(target string, size int) string {
	var b strings.Builder
	b.Grow(size + 16)
	for block := 0; b.Len() < size; block++ {
		fmt.Fprintf(&b, "%016x", xxhash.Sum64String(target+"#"+strconv.Itoa(block)))
	}
	return b.String()[:size]
}

// storedAnswer is the last answer of an upstream.
type storedAnswer struct {
	requestID string
	body      []byte
}

// payloadSize reads the query value "size".
func payloadSize(text string) (int, bool) {
	if text == "" {
		return defaultPayload, true
	}
	size, err := strconv.Atoi(text)
	return size, err == nil && size >= 0 && size <= maxBody
}

func (u *Upstream) normalAnswer(job *work) storedAnswer {
	header := job.request.Header
	answer := Answer{
		RequestID:      header.Get(RequestIDHeader),
		IdempotencyKey: header.Get(IdempotencyKeyHeader),
		Upstream:       u.config.Name,
		Target:         job.target,
		BodyHash:       bodyHash(job.body),
		Payload:        Payload(job.target, job.size),
	}
	// Strings and no other types are encoded, which cannot fail.
	body, _ := json.Marshal(answer)
	return storedAnswer{requestID: answer.RequestID, body: body}
}

// answer sends the answer of a completed run, with the fault applied.
func (u *Upstream) answer(w http.ResponseWriter, job *work, fault Fault) {
	own := u.normalAnswer(job)
	previous := u.swapLast(own)
	if fault.DelayMillis > 0 && fault.Kind != FaultCrash {
		if job.wait(u.after(fault.delay()), nil) != notInterrupted {
			panic(http.ErrAbortHandler)
		}
	}
	switch fault.Kind {
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultReset:
		job.conn.reset()
		panic(http.ErrAbortHandler)
	case FaultStall:
		job.hold()
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

// swapLast keeps the answer and returns the one before it.
func (u *Upstream) swapLast(own storedAnswer) storedAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.lastAnswer
	if len(own.body) <= maxStoredAnswer {
		u.lastAnswer = own
	}
	return previous
}

// otherThan returns the stored answer if it belongs to another request, else one
// to a request that never was.
func (s storedAnswer) otherThan(requestID string) storedAnswer {
	if len(s.body) > 0 && s.requestID != requestID {
		return s
	}
	other := Answer{RequestID: "other-than-" + requestID, Payload: Payload("other", defaultPayload)}
	// Strings and no other types are encoded, which cannot fail.
	body, _ := json.Marshal(other)
	return storedAnswer{requestID: other.RequestID, body: body}
}

// writeAnswer announces the whole body and sends the first bytes of it. After a
// short body net/http closes the connection.
func writeAnswer(w http.ResponseWriter, status int, answer storedAnswer, sent int) {
	w.Header().Set(RequestIDHeader, answer.requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	w.WriteHeader(status)
	// A client that has gone is no failure of the stand-in.
	_, _ = w.Write(answer.body[:sent])
}

// repeatAnswer sends the answer again, before the next request on the connection
// is read.
func repeatAnswer(w http.ResponseWriter, job *work, answer storedAnswer) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		RequestIDHeader, answer.requestID, len(answer.body))
	// A client that has gone is no failure of the stand-in.
	_, _ = job.conn.Write(append([]byte(head), answer.body...))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone is no failure of the stand-in.
	_ = json.NewEncoder(w).Encode(value)
}

// keysIn returns the parts of a request that look like a key.
func keysIn(r *http.Request, target string, body []byte) []string {
	var seen []string
	look := func(name, value string) {
		if len(seen) < maxKeysSeen && strings.Contains(strings.ToLower(name+"\n"+value), KeyPrefix) {
			seen = append(seen, clip(name)+": "+clip(value))
		}
	}
	for _, fields := range []http.Header{r.Header, r.Trailer} {
		for name, values := range fields {
			for _, value := range values {
				look(name, value)
			}
		}
	}
	look("Host", r.Host)
	if unescaped, err := url.QueryUnescape(target); err == nil {
		target = unescaped
	}
	look("target", target)
	if at := strings.Index(string(body), KeyPrefix); at >= 0 {
		look("body", string(body[at:min(len(body), at+maxText)]))
	}
	return seen
}

// clip bounds a recorded text.
func clip(text string) string {
	if len(text) > maxText {
		return text[:maxText]
	}
	return text
}
