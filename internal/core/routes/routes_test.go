package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func TestMatchChoosesTheLongestPrefixOfTheHost(t *testing.T) {
	one := []Share{{"s", 1}}
	table := NewTable(Config{Routes: []Route{
		{Name: "a", Host: "h", Prefix: "/p/", Shares: one},
		{Name: "b", Host: "h", Prefix: "/p/q/", Shares: one},
		{Name: "c", Host: "other", Prefix: "/", Shares: one},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h", "/p/x", "a"}, {"H:80", "/p/q/x?y=/", "b"}, {"h", "/p", ""}, {"h", "/", ""}, {"other", "/p/x", "c"}, {"none", "/p/x", ""},
	} {
		got := ""
		if r, ok := table.Match(c.host, c.path); ok {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

func TestSplitterKeepsTheWeights(t *testing.T) {
	r := &Route{Name: "r", Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	s := NewSplitter()
	count := map[ident.Service]int{}
	for range 200 {
		count[s.Next(r)]++
	}
	assert.DeepEqual(t, count, map[ident.Service]int{"a": 180, "b": 20})
}
