package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// The configuration changes while a request waits: the newest route of its name decides, and
// a route that was removed keeps the regions that the request matched.
func TestNewestRouteDecidesOnRegions(t *testing.T) {
	one := []Share{{"s", 1}}
	table := NewTable(Config{Routes: []Route{
		{Name: "bound", Host: "h", Prefix: "/a/", Shares: one, Regions: []ident.Region{"n"}},
		{Name: "free", Host: "h", Prefix: "/b/", Shares: one},
	}})
	for _, c := range []struct {
		table   *Table
		route   string
		matched []ident.Region
		region  ident.Region
		want    bool
	}{
		{table, "bound", nil, "n", true}, {table, "bound", nil, "s", false}, {table, "bound", []ident.Region{"s"}, "s", false},
		{table, "free", []ident.Region{"n"}, "s", true},
		{table, "gone", []ident.Region{"n"}, "s", false}, {table, "gone", []ident.Region{"n"}, "n", true}, {table, "gone", nil, "s", true},
		{nil, "bound", []ident.Region{"n"}, "s", false}, {nil, "bound", nil, "s", true},
	} {
		assert.Equal(t, c.table.AllowsRequest(c.route, c.matched, c.region), c.want, "%+v", c)
	}
}

func TestGapsNameRoutesThatNoAllowedRegionServes(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "typo", Host: "h", Prefix: "/a/", Shares: []Share{{"s", 1}}, Regions: []ident.Region{"nrth"}},
		{Name: "empty", Host: "h", Prefix: "/b/", Shares: []Share{{"s", 1}, {"t", 1}, {"u", 0}}, Regions: []ident.Region{"n", "x"}},
		{Name: "free", Host: "h", Prefix: "/c/", Shares: []Share{{"none", 1}}},
	}})
	servers := map[ident.Service]map[ident.Region]bool{"s": {"s": true}, "t": {"n": true}}
	got := table.Gaps(map[ident.Region]bool{"n": true, "s": true}, servers)
	assert.DeepEqual(t, got, []Gap{{"typo", "s", NoHost}, {"empty", "s", NoServer}})
}
