package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
)

func routes(rs ...Route) *Snapshot { return NewSnapshot(Configuration{Version: 3, Routes: rs}) }

// Guards against a request that takes a shorter prefix or the route of another
// host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	s := routes(
		Route{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		Route{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	)
	require.Equal(t, fleet.Route("long"), s.RouteFor("A.example:8080", "/x/y/z/1").Name)
	require.Equal(t, fleet.Route("short"), s.RouteFor("a.example", "/x/1").Name)
	require.Nil(t, s.RouteFor("a.example", "/xy"))
	require.Nil(t, s.RouteFor("c.example", "/x/"))
}

// Guards against homes of route and customer that exclude each other being taken
// for "everywhere".
func TestHomesOfRouteAndCustomerBothBind(t *testing.T) {
	r, c := &Route{Homes: []fleet.Region{"a", "b"}}, &Customer{Homes: []fleet.Region{"b", "c"}}
	require.Equal(t, []fleet.Region{"b"}, Allowed(r, c))
	require.Nil(t, Allowed(&Route{}, nil))
	require.Equal(t, []fleet.Region{"b", "c"}, Allowed(&Route{}, c))
	apart := Allowed(&Route{Homes: []fleet.Region{"a"}}, c)
	require.NotEmpty(t, apart)
	require.NotContains(t, apart, fleet.Region("a"))
	require.NotContains(t, apart, fleet.Region("b"))
}

// Guards against a version that comes back after a newer one.
func TestOlderVersionIsNotNewer(t *testing.T) {
	old, present := NewSnapshot(Configuration{Version: 9}), NewSnapshot(Configuration{Version: 10})
	require.False(t, old.Newer(present))
	require.False(t, present.Newer(present))
	require.True(t, present.Newer(old))
	require.True(t, old.Newer(nil))
}

func TestPriorityOfCustomerComesFirst(t *testing.T) {
	r := &Route{Priority: 2}
	require.Equal(t, 2, PriorityOf(r, &Customer{}))
	require.Equal(t, 0, PriorityOf(r, &Customer{HasPriority: true}))
}
