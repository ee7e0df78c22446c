package gateway

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/lookup"
	"github.com/catkinspring/catkinspring/problem"
)

const entryHostsPath = "/v1/entry-hosts"

// entryHosts handles a lookup of the entry hosts that a client should use.
func (g *Gateway) entryHosts(fc fiber.Ctx) error {
	ctx := fc.RequestCtx()
	c := ctx.UserValue(callKey{}).(*call)
	response := &ctx.Response
	answer, err := g.appendEntryHosts(ctx, response.SwapBody(nil)[:0])
	if err != nil {
		return err
	}
	response.Header.SetContentType(fiber.MIMEApplicationJSON)
	response.Header.Set(fasthttp.HeaderCacheControl, "max-age="+strconv.Itoa(int(g.LookupBuilder.MaxAge()/time.Second)))
	response.Header.Set(dispatch.HeaderRequestID, c.id)
	response.SwapBody(answer)
	c.closeIfDraining()
	g.metrics.lookups.Inc(1)
	return nil
}

// appendEntryHosts appends the encoded lookup answer to a buffer.
func (g *Gateway) appendEntryHosts(ctx *fasthttp.RequestCtx, buffer []byte) ([]byte, error) {
	snapshot, view := g.Snapshot(), g.View()
	if snapshot == nil || view == nil {
		return nil, problem.NotRun(problem.KindNotReady, "the entry host does not know the others yet")
	}
	name := string(ctx.QueryArgs().Peek("route"))
	if name == "" {
		return nil, malformed("the query has no route")
	}
	if snapshot.Route(fleet.Route(name)) == nil {
		return nil, problem.NotRun(problem.KindRouteUnknown, "there is no route of this name")
	}
	client, err := clientAddress(ctx)
	if err != nil {
		return nil, err
	}
	query := lookup.Query{Client: client, Route: fleet.Route(name)}
	if g.RegionTable != nil {
		query.Nearest, _ = g.RegionTable().Region(client)
	}
	self := lookup.Self{Draining: g.Draining(), LeaseValid: g.leaseValid()}
	answer, ok := g.LookupBuilder.Append(buffer, view, self, time.Duration(g.Clock.Now().Instant), query)
	if !ok {
		return nil, problem.NotRun(problem.KindNoCapacity, "no entry host can be named")
	}
	return answer, nil
}

// clientAddress returns the address to look up: the one in the query, or else the
// caller's own address.
func clientAddress(ctx *fasthttp.RequestCtx) (netip.Addr, error) {
	text := ctx.QueryArgs().Peek("client")
	if len(text) > 0 {
		client, err := netip.ParseAddr(string(text))
		if err != nil {
			return netip.Addr{}, malformed("the client is not an IP address")
		}
		return client.WithZone("").Unmap(), nil
	}
	if remote, ok := ctx.RemoteAddr().(*net.TCPAddr); ok {
		return remote.AddrPort().Addr().Unmap(), nil
	}
	return netip.IPv6Unspecified(), nil
}
