package lookup

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

const (
	benchBlocks = 1_600_000
	benchSites  = 1_100

	benchHosts   = 64
	benchRegions = 17
)

// benchmarkBlocks returns distinct blocks: four fifths are IPv4, most of them
// /24, and the others IPv6 of 32 to 48 bits. Sites are random, so that few blocks
// are redundant.
func benchmarkBlocks(random *rand.Rand) []configuration.ClientBlock {
	sites := make([]fleet.Region, benchSites)
	for i := range sites {
		sites[i] = fleet.Region(fmt.Sprint("site", i))
	}
	seen := make(map[netip.Prefix]bool, benchBlocks)
	blocks := make([]configuration.ClientBlock, 0, benchBlocks)
	for len(blocks) < benchBlocks {
		var p netip.Prefix
		if random.IntN(5) == 0 {
			var a [16]byte
			binary.BigEndian.PutUint64(a[:], random.Uint64())
			a[0] = 0x20 | a[0]&0x0f
			p = netip.PrefixFrom(netip.AddrFrom16(a), 32+random.IntN(17)).Masked()
		} else {
			var a [4]byte
			binary.BigEndian.PutUint32(a[:], random.Uint32())
			p = netip.PrefixFrom(netip.AddrFrom4(a), []int{24, 24, 24, 24, 24, 23, 22, 20}[random.IntN(8)]).Masked()
		}
		if !seen[p] {
			seen[p] = true
			blocks = append(blocks, configuration.ClientBlock{Prefix: p, Region: sites[random.IntN(benchSites)]})
		}
	}
	return blocks
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchmarkTable returns a table and clients in it. The returned function reports
// the table's size and build time; it must be called after the benchmark loop,
// which discards earlier metrics.
func benchmarkTable(b *testing.B) (*Table, []netip.Addr, func()) {
	random := rand.New(rand.NewPCG(seed, 1))
	blocks := benchmarkBlocks(random)
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		clients[i] = blocks[random.IntN(len(blocks))].Prefix.Addr()
	}
	before := heapBytes()
	started := time.Now()
	table := NewTable(blocks)
	built := time.Since(started)
	after := heapBytes()
	runtime.KeepAlive(blocks)
	return table, clients, func() {
		b.ReportMetric(float64(after-before)/(1<<20), "table-MiB")
		b.ReportMetric(float64(table.Size()), "prefixes")
		b.ReportMetric(built.Seconds(), "build-s")
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
	}
}

// BenchmarkRegion measures a lookup in the table on one core.
func BenchmarkRegion(b *testing.B) {
	table, clients, report := benchmarkTable(b)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, found := table.Region(clients[i%len(clients)]); !found {
			b.Fatal("client not found")
		}
		i++
	}
	report()
}

// BenchmarkAnswer measures a complete lookup, region and encoded answer, on one
// core in a cell of 64 hosts in 17 regions.
func BenchmarkAnswer(b *testing.B) {
	table, clients, report := benchmarkTable(b)
	builder, view := NewBuilder(circularDelays, 5*time.Second), testView(benchHosts)
	for i := range view.Members {
		view.Members[i].Region = fleet.Region(fmt.Sprint("site", i%benchRegions*benchSites/benchRegions))
	}
	self := Self{LeaseValid: true}
	var buffer []byte
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		client := clients[i%len(clients)]
		region, _ := table.Region(client)
		var ok bool
		buffer, ok = builder.Append(buffer[:0], view, self, 0, Query{Client: client, Route: "r", Nearest: region})
		if !ok {
			b.Fatal("no answer")
		}
		i++
	}
	report()
}

// circularDelays returns the distance between two sites on a circle.
func circularDelays(from, to fleet.Region) (time.Duration, bool) {
	var a, b int
	if _, err := fmt.Sscanf(string(from+" "+to), "site%d site%d", &a, &b); err != nil {
		return 0, false
	}
	distance := max(a-b, b-a)
	return time.Duration(min(distance, benchSites-distance)), true
}
