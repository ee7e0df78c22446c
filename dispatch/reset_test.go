package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// Guards against a part of a response that is passed on, or taken for a statement that the
// request has not run, because the reset of its connection was reported to the writer of the
// upload. Guards against the loss of a whole response as well.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 %s X\r\n" + HeaderRequestID + ": %s\r\n"
	body := responsetest.Upload()
	for name, c := range map[string]struct {
		status, rest string
		whole        bool
	}{
		"no length":    {"200", "\r\npart", false},
		"404":          {"404", "\r\npart", false},
		"not run":      {"503", HeaderNotRun + ": true\r\n\r\npart", false},
		"length":       {"200", "Content-Length: 10\r\n\r\npart", false},
		"chunks":       {"200", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
		"whole":        {"200", "Content-Length: 5\r\n\r\nwhole", true},
		"whole chunks": {"200", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
	} {
		for _, delay := range responsetest.ResetDelays {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				for range responsetest.EarlyRuns {
					b := newTestDispatcher()
					r := newRequest("m", configuration.SemanticsAtMostOnce, 5*time.Second)
					r.Message.SetBodyRaw(body)
					s := responsetest.ServeEarly(t, responsetest.Early{Text: fmt.Sprintf(head, c.status, r.ID) + c.rest, Delay: delay})
					b.placer.targets = []traffic.Target{{Name: "u1", Address: s.Address}}
					response, err := b.run(r)
					if c.whole {
						require.NoError(t, err)
						require.Equal(t, "whole", string(response.Body()))
						continue
					}
					var refused *problem.Error
					require.True(t, errors.As(err, &refused), "%v", err)
					require.Equal(t, problem.OutcomeUnknown, refused.Outcome)
					broken := int64(0)
					for _, counter := range b.metrics.brokenResponses {
						broken += counter.Count()
					}
					require.EqualValues(t, 1, broken)
				}
			})
		}
	}
}
