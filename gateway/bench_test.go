package gateway

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// bareForwarder starts the baseline: the same server and codec, which only
// forward requests.
func bareForwarder(b *testing.B, upstream string) string {
	client := &fasthttp.HostClient{Addr: upstream}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// BenchmarkForward sends requests with 1 KB bodies through the gateway to a local
// upstream, sequentially ("one") and concurrently ("many").
func BenchmarkForward(b *testing.B) {
	h := newHarness(b, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Request.Body()) }, nil)
	bare := bareForwarder(b, h.upstreamAddress.String())
	var sequence atomic.Int64
	request := func(path string) func(*fasthttp.HostClient, *fasthttp.Request, *fasthttp.Response) error {
		body := make([]byte, 1000)
		return func(c *fasthttp.HostClient, r *fasthttp.Request, response *fasthttp.Response) error {
			r.SetRequestURI("http://g" + path)
			r.Header.SetMethod("POST")
			r.Header.Set("Authorization", "Bearer "+h.key.Reveal())
			r.Header.Set("Idempotency-Key", strconv.FormatInt(sequence.Add(1), 10))
			r.SetBodyRaw(body)
			return c.Do(r, response)
		}
	}
	for _, test := range []struct{ name, address, path string }{
		{"bare", bare, "/open/a"},
		{"open", h.address, "/open/a"},
		{"keyed", h.address, "/reads/a"},
		{"at-most-once", h.address, "/orders/a"},
	} {
		do := request(test.path)
		b.Run(test.name+"/one", func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: test.address}
			histogram := hdrhistogram.New(1, time.Second.Nanoseconds(), 3)
			var r fasthttp.Request
			var response fasthttp.Response
			b.ReportAllocs()
			for b.Loop() {
				started := time.Now()
				if err := do(client, &r, &response); err != nil || response.StatusCode() != 200 {
					b.Fatal(err, response.String())
				}
				_ = histogram.RecordValue(time.Since(started).Nanoseconds())
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-us")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-us")
		})
		b.Run(test.name+"/many", func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: test.address}
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				var r fasthttp.Request
				var response fasthttp.Response
				for pb.Next() {
					if err := do(client, &r, &response); err != nil || response.StatusCode() != 200 {
						b.Error(err, response.String())
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
