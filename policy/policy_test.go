package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
)

func withRoutes(rs ...Route) *Snapshot { return NewSnapshot(Configuration{Version: 3, Routes: rs}) }

// Guards against matching a shorter prefix or the route of another host.
func TestLongestPrefixForHostWins(t *testing.T) {
	s := withRoutes(
		Route{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		Route{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	)
	require.Equal(t, fleet.Route("long"), s.RouteFor("A.example:8080", "/x/y/z/1").Name)
	require.Equal(t, fleet.Route("short"), s.RouteFor("a.example", "/x/1").Name)
	require.Nil(t, s.RouteFor("a.example", "/xy"))
	require.Nil(t, s.RouteFor("c.example", "/x/"))
}

// Guards against treating disjoint homes of route and customer as "all regions
// allowed".
func TestAllowedIntersectsRouteAndCustomerHomes(t *testing.T) {
	r, c := &Route{Homes: []fleet.Region{"a", "b"}}, &Customer{Homes: []fleet.Region{"b", "c"}}
	require.Equal(t, []fleet.Region{"b"}, Allowed(r, c))
	require.Nil(t, Allowed(&Route{}, nil))
	require.Equal(t, []fleet.Region{"b", "c"}, Allowed(&Route{}, c))
	disjoint := Allowed(&Route{Homes: []fleet.Region{"a"}}, c)
	require.NotEmpty(t, disjoint)
	require.NotContains(t, disjoint, fleet.Region("a"))
	require.NotContains(t, disjoint, fleet.Region("b"))
}

// Guards against an older version that replaces a newer one.
func TestOlderVersionIsNotNewer(t *testing.T) {
	old, current := NewSnapshot(Configuration{Version: 9}), NewSnapshot(Configuration{Version: 10})
	require.False(t, old.Newer(current))
	require.False(t, current.Newer(current))
	require.True(t, current.Newer(old))
	require.True(t, old.Newer(nil))
}

func TestCustomerPriorityOverridesRoutePriority(t *testing.T) {
	r := &Route{Priority: 2}
	require.Equal(t, 2, PriorityOf(r, &Customer{}))
	require.Equal(t, 0, PriorityOf(r, &Customer{HasPriority: true}))
}
