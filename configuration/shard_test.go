package configuration

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
)

// blocksOf returns a snapshot with count /24 blocks.
func blocksOf(count int) *Snapshot {
	s := &Snapshot{Revision: 1, Blocks: make([]ClientBlock, 0, count)}
	for i := range count {
		address := netip.AddrFrom4([4]byte{byte(i >> 16), byte(i >> 8), byte(i), 0})
		s.Blocks = append(s.Blocks, ClientBlock{Prefix: netip.PrefixFrom(address, 24), Region: fleet.Region(fmt.Sprint("region-", i%17))})
	}
	s.Index()
	return s
}

// Guards against shards near the size limit of the store, and against a small change
// that rewrites many shards.
func TestSmallChangeRewritesFewShards(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := blocksOf(100_000)
	_, stored := cutShards(s, nil)
	largest := 0
	for _, part := range stored {
		largest = max(largest, len(part.encode()))
	}
	require.Less(t, largest, maxShardBytes)
	for i := range 20 {
		n := &Note{ID: fmt.Sprint("n", i)}
		at := random.IntN(len(s.Blocks))
		switch i % 3 {
		case 0:
			n.Changed.ClientBlocks = []ClientBlock{{Prefix: s.Blocks[at].Prefix, Region: "elsewhere"}}
		case 1:
			n.Withdrawn.ClientBlocks = []netip.Prefix{s.Blocks[at].Prefix}
		default:
			n.Added.ClientBlocks = []ClientBlock{{Prefix: netip.MustParsePrefix(fmt.Sprintf("%d.1.0.0/25", 100+i)), Region: "new"}}
		}
		next, err := Apply(s, n)
		require.NoError(t, err)
		order, after := cutShards(next, stored)
		recut, _ := cutShards(next, nil)
		require.Equal(t, recut, order, "reuse of base shards must not change the digests")
		written := 0
		for digest := range after {
			if _, unchanged := stored[digest]; !unchanged {
				written++
			}
		}
		require.LessOrEqual(t, written, 2)
		require.Len(t, Diff(s, next), 1)
		s, stored = next, after
	}
	t.Logf("100,000 blocks in %d shards, the largest %d bytes", len(stored), largest)
}

// Guards against large items that make a shard exceed the size limit of the store.
func TestLargeItemsFillShards(t *testing.T) {
	s := &Snapshot{}
	for i := range 500 {
		c := Customer{ID: fleet.Customer(fmt.Sprintf("customer-%d", i)), Rate: 1, Burst: 1, Weight: 1}
		for k := range maxKeys {
			c.Keys = append(c.Keys, Key{ID: fmt.Sprintf("%08x%08x", i, k), Digest: testDigest})
		}
		s.Customers = append(s.Customers, c)
	}
	_, parts := cutShards(s, nil)
	for _, part := range parts {
		require.LessOrEqual(t, len(part.encode()), maxShardBytes+64)
	}
	require.Greater(t, len(parts), 10)
}

// BenchmarkTargetSize measures a note that changes one of 1.6 million blocks.
func BenchmarkTargetSize(b *testing.B) {
	s := blocksOf(1_600_000)
	n := &Note{ID: "n"}
	n.Changed.ClientBlocks = []ClientBlock{{Prefix: s.Blocks[7].Prefix, Region: "elsewhere"}}
	order, parts := cutShards(s, nil)
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			if _, err := Apply(s, n); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("cut", func(b *testing.B) {
		for b.Loop() {
			cutShards(s, nil)
		}
	})
	b.Run("cut-again", func(b *testing.B) {
		next, _ := Apply(s, n)
		for b.Loop() {
			cutShards(next, parts)
		}
	})
	b.Run("join", func(b *testing.B) {
		for b.Loop() {
			joinShards(&Head{Shards: order}, parts)
		}
	})
	b.Run("diff", func(b *testing.B) {
		next, _ := Apply(s, n)
		for b.Loop() {
			Diff(s, next)
		}
	})
}
