package lookup

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

const seed = 4242

// randomBlocks returns blocks whose prefixes may contain each other. The first
// varying byte of an address is below space.
func randomBlocks(random *rand.Rand, n, regions int, space byte) []configuration.ClientBlock {
	blocks := make([]configuration.ClientBlock, n)
	for i := range blocks {
		region := fleet.Region(fmt.Sprint("r", random.IntN(regions)))
		if random.IntN(4) == 0 {
			var a [16]byte
			a[0], a[1], a[4], a[5] = 0x20, 0x01, byte(random.IntN(int(space))), byte(random.IntN(256))
			blocks[i] = configuration.ClientBlock{Prefix: netip.PrefixFrom(netip.AddrFrom16(a), 16+random.IntN(49)), Region: region}
			continue
		}
		a := [4]byte{byte(random.IntN(int(space))), byte(random.IntN(256)), byte(random.IntN(256)), byte(random.IntN(256))}
		blocks[i] = configuration.ClientBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4(a), 8+random.IntN(25)), Region: region}
	}
	return blocks
}

// Guards against a table that returns a region other than that of the longest
// prefix, also after redundant blocks were left out.
func TestTableAgainstLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 0))
	t.Logf("seed %d", seed)
	blocks := randomBlocks(random, 3000, 3, 4)
	table := NewTable(blocks)
	require.Less(t, table.Size(), len(blocks))
	for range 2000 {
		address := blocks[random.IntN(len(blocks))].Prefix.Addr()
		client := address
		if address.Is4() {
			client = netip.AddrFrom4([4]byte{address.As4()[0], address.As4()[1], byte(random.IntN(256)), 1})
		}
		var want fleet.Region
		best := -1
		for _, b := range blocks {
			if b.Prefix.Masked().Contains(client) && b.Prefix.Bits() >= best {
				best, want = b.Prefix.Bits(), b.Region
			}
		}
		got, found := table.Region(client)
		require.Equal(t, best >= 0, found)
		require.Equal(t, want, got, client)
		if client.Is4() {
			mapped, _ := table.Region(netip.AddrFrom16(client.As16()))
			require.Equal(t, got, mapped)
		}
	}
}

// Guards against a rebuild when the blocks did not change, and against a missing
// one when they did.
func TestCacheRebuildsOnlyOnChange(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 2))
	blocks := randomBlocks(random, 100, 3, 200)
	var c Cache
	require.Nil(t, c.Table())
	require.True(t, c.Update(nil))
	require.True(t, c.Update(blocks))
	built := c.Table()
	require.False(t, c.Update(slices.Clone(blocks)))
	require.Same(t, built, c.Table())
	changed := slices.Clone(blocks)
	changed[7].Region = "other"
	require.True(t, c.Update(changed))
	region, _ := c.Table().Region(changed[7].Prefix.Addr())
	require.Equal(t, fleet.Region("other"), region)
}

func testView(hosts int) *fleet.View {
	v := &fleet.View{Self: fleet.Member{Host: "h0"}}
	for i := range hosts {
		v.Members = append(v.Members, fleet.ViewMember{
			Member:   fleet.Member{Host: fleet.HostID(fmt.Sprint("h", i))},
			Location: fleet.Location{Region: fleet.Region([]string{"near", "mid", "far"}[i%3]), FailureDomain: "d"},
			State:    fleet.StateActive, Reachable: true,
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return v
}

func testDelays(from, to fleet.Region) (time.Duration, bool) {
	position := map[fleet.Region]time.Duration{"near": 0, "mid": 10, "far": 100}
	d, ok := position[to]
	return (d - position[from]).Abs(), ok
}

func lookUp(t testing.TB, b *Builder, v *fleet.View, self Self, q Query) Answer {
	var a Answer
	if encoded, ok := b.Append(nil, v, self, 0, q); ok {
		require.NoError(t, json.Unmarshal(encoded, &a))
	}
	return a
}

func encodedAnswerAt(b *Builder, v *fleet.View, at time.Duration) string {
	encoded, _ := b.Append(nil, v, Self{LeaseValid: true}, at, query(1, "near"))
	return string(encoded)
}

func query(client int, nearest fleet.Region) Query {
	return Query{Client: netip.AddrFrom4([4]byte{1, 2, byte(client >> 8), byte(client)}), Route: "r", Nearest: nearest}
}

// Guards against answers that list a distant host first or a leaving, unreachable
// or overloaded one at all, and against answers that differ between repeats.
func TestAnswerOrder(t *testing.T) {
	v := testView(9)
	v.Members[3].State = fleet.StateLeaving
	v.Members[6].State = fleet.StateRetiring
	v.Members[1].Reachable = false
	v.Members[4].Load = 0.95
	b := NewBuilder(testDelays, 5500*time.Millisecond)
	self := Self{LeaseValid: true}
	a := lookUp(t, b, v, self, query(1, "far"))
	regions := []fleet.Region{}
	for _, h := range a.EntryHosts {
		regions = append(regions, h.Region)
	}
	require.Equal(t, []fleet.Region{"far", "far", "far", "mid", "near"}, regions)
	require.Equal(t, 5, a.MaxAgeSeconds)
	require.Equal(t, a, lookUp(t, b, v, self, query(1, "far")))
	require.Equal(t, a, lookUp(t, NewBuilder(testDelays, 5*time.Second), v, self, query(1, "far")))
	require.Equal(t, fleet.Region("near"), lookUp(t, b, v, self, query(1, "")).EntryHosts[0].Region)
	for i := range v.Members {
		v.Members[i].Reachable = false
		v.Members[i].Load = 1
	}
	b = NewBuilder(testDelays, time.Second)
	require.Len(t, lookUp(t, b, v, self, query(1, "near")).EntryHosts, 7, "unusable hosts are listed if there are no others")
	require.Len(t, lookUp(t, b, v, Self{LeaseValid: true, Draining: true}, query(1, "near")).EntryHosts, 6)
	require.Empty(t, lookUp(t, NewBuilder(nil, time.Second), &fleet.View{}, self, query(1, "near")))
}

// Guards against a partitioned host that lists itself first although it refuses
// keyed traffic.
func TestAnswerWithoutLease(t *testing.T) {
	v := testView(9)
	for i := range v.Members {
		v.Members[i].Reachable = i == 0
	}
	hosts := lookUp(t, NewBuilder(testDelays, time.Second), v, Self{}, query(1, "near")).EntryHosts
	require.Len(t, hosts, 8)
	require.Equal(t, fleet.Region("mid"), hosts[0].Region)
	require.NotEqual(t, v.Members[0].CallerAddress, hosts[0].Address)
}

// Guards against answers that send all callers to one host or ignore its load.
func TestAnswersDistributedByWeight(t *testing.T) {
	v := testView(12)
	v.Members[3].Load = 0.75
	b := NewBuilder(testDelays, time.Second)
	first := map[netip.AddrPort]int{}
	const clients = 8000
	for i := range clients {
		first[lookUp(t, b, v, Self{LeaseValid: true}, query(i, "near")).EntryHosts[0].Address]++
	}
	// Weights 100, 25, 100, 100.
	require.Len(t, first, 4)
	for i, want := range map[int]float64{0: 100. / 325, 3: 25. / 325, 6: 100. / 325, 9: 100. / 325} {
		require.InDelta(t, want, float64(first[v.Members[i].CallerAddress])/clients, 0.02)
	}
}

// Guards against answers that are still used after the members changed.
func TestPlanFollowsView(t *testing.T) {
	b := NewBuilder(testDelays, time.Second)
	self := Self{LeaseValid: true}
	v := testView(6)
	before := encodedAnswerAt(b, v, 0)
	busy := testView(6)
	busy.Members[0].Load = 0.5
	require.Equal(t, before, encodedAnswerAt(b, busy, MinRebuildInterval/2), "load changes are applied after MinRebuildInterval")
	require.NotEqual(t, before, encodedAnswerAt(b, busy, MinRebuildInterval))
	leaving := testView(6)
	leaving.Members[1].State = fleet.StateLeaving
	require.Len(t, lookUp(t, b, leaving, self, query(1, "near")).EntryHosts, 5, "a leaving host is removed at once")
}
