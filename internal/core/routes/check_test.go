package routes

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// soundConfig has nothing to find.
func soundConfig() Config {
	return Config{
		Version: 7,
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a", Shares: []Share{{"s", 1}}, Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 1, Regions: []ident.Region{"n"}},
			{Name: "ab", Host: "H.example", Prefix: "/a/b/", Shares: []Share{{"s", 1}, {"u", 9}}, Idempotent: true, MaxAttempts: 2, Priority: 1},
			{Name: "all", Host: "h", Prefix: "/", Shares: []Share{{"s", 1}}, Timeout: time.Second, MaxAttempts: 3, Priority: 1},
		},
		Services: map[ident.Service]Service{"s": {Name: "s", Sharded: true, GrantByCall: true}, "u": {Name: "u", ColdTime: 1, ColdRate: 1}},
		Limits:   Limits{HeaderBytes: 100, BodyBytes: 100, HeaderTimeout: 3, IdleTimeout: 3},
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		want   string // kind, entry and part of the text; empty for no finding
		change func(c *Config)
	}{
		{"", func(*Config) {}},
		{`error|route "a"|no host`, func(c *Config) { c.Routes[0].Host = "" }},
		{`error|route "a"|unknown service "x"`, func(c *Config) { c.Routes[0].Shares = []Share{{"x", 1}} }},
		{`error|service "u"|invalid rate`, func(c *Config) { s := c.Services["u"]; s.ColdRate = -1; c.Services["u"] = s }},
		{`error|route "all"|route "a" has the same host and prefix`, func(c *Config) { c.Routes[2].Host, c.Routes[2].Prefix = "H", "/a" }},
		{`error|route "all"|has a port`, func(c *Config) { c.Routes[2].Host = "h:80" }},
		{`error|route "a"|has a query`, func(c *Config) { c.Routes[0].Prefix = "/a?x" }},
		{`error|route "a"|no request has host`, func(c *Config) { c.Routes[0].Host = "*.example" }},
		{`warning|route "a"|used twice`, func(c *Config) { c.Routes[2].Name = "a" }},
		{`warning|route "a"|above the timeout`, func(c *Config) { c.Routes[0].TargetLatency++ }},
		{`warning|route "a"|counts as one`, func(c *Config) { c.Routes[0].MaxAttempts = 0 }},
		{`warning|route "all"|3 attempts without a timeout`, func(c *Config) { c.Routes[2].Timeout = 0 }},
		{`warning|route "all"|above 0`, func(c *Config) { c.Routes[2].Priority = -1 }},
		{`warning|configuration|no route has priority 2, but some have up to 3`, func(c *Config) { c.Routes[2].Priority = 3 }},
		{`warning|route "ab"|service "s" has weight zero`, func(c *Config) { c.Routes[1].Shares[0].Weight = 0 }},
		{`warning|service "u"|no route names it`, func(c *Config) { c.Routes[1].Shares = c.Routes[1].Shares[:1] }},
		{`warning|service "u"|cold for no time`, func(c *Config) { c.Services["u"] = Service{ColdRate: 1} }},
		{`warning|service "u"|no rate bounds`, func(c *Config) { c.Services["u"] = Service{ColdTime: 1} }},
		{`warning|service "u"|not sharded`, func(c *Config) { c.Services["u"] = Service{GrantByCall: true} }},
		{`warning|limits|port reads 100`, func(c *Config) { c.Limits.HeaderBytes++ }},
		{`warning|limits|port reads 100`, func(c *Config) { c.Limits.BodyBytes++ }},
		{`warning|limits|port waits 5ns`, func(c *Config) { c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 6, 7 }},
		{`warning|limits|closes them after 7ns`, func(c *Config) { c.Limits.IdleTimeout = 8 }},
		{`warning|limits|below the header timeout`, func(c *Config) { c.Limits.IdleTimeout = 2 }},
		{`error|route "a"|["x"]: all its requests are refused`, func(c *Config) { c.Routes[0].Regions = []ident.Region{"x"} }},
		{`warning|route "a"|["x"]`, func(c *Config) { c.Routes[0].Regions = []ident.Region{"n", "x"} }},
		{`warning|route "ab"|service "u": no backend server`, func(c *Config) { c.Routes[1].Regions = []ident.Region{"n"} }},
		{`warning|service "v"|no host has`, func(c *Config) {
			c.Services["v"] = Service{}
			c.Routes[0].Shares = []Share{{"s", 1}, {"v", 1}}
			c.Routes[0].Regions = nil
		}},
	} {
		conf := soundConfig()
		c.change(&conf)
		r := Check(Document{Config: conf}, CheckInput{
			Deployment: Deployment{
				Regions: map[ident.Region]bool{"n": true, "m": true},
				Servers: map[ident.Service]map[ident.Region]bool{"s": {"n": true}, "u": {"m": true}},
			},
			Port:    Limits{HeaderBytes: 100, BodyBytes: 100, HeaderTimeout: 5, IdleTimeout: 7},
			InForce: &Config{Version: 6, Routes: conf.Routes, Services: conf.Services, Limits: conf.Limits},
		})
		assert.Equal(t, len(r.NotChecked), 0)
		if c.want == "" {
			assert.Equal(t, len(r.Findings), 0, "%v", r.Findings)
			continue
		}
		assert.Assert(t, len(r.Findings) == 1, "%s: %v", c.want, r.Findings)
		f, want := r.Findings[0], strings.SplitN(c.want, "|", 3)
		assert.Check(t, string(f.Kind) == want[0] && f.Entry == want[1] && strings.Contains(f.Text, want[2]), "%s: %v", c.want, f)
	}
}

func TestCheckListsChanges(t *testing.T) {
	before, after := soundConfig(), soundConfig()
	after.Routes[0].Timeout = 2 * time.Second
	after.Routes[1].Name = "new"
	after.Services["u"] = Service{ColdTime: 1, ColdRate: 2.5}
	after.Limits.BodyBytes = 99
	r := Check(Document{Config: after}, CheckInput{InForce: &before})
	var got []string
	for _, f := range r.Findings {
		got = append(got, f.String())
	}
	assert.DeepEqual(t, got, []string{
		"error: configuration: version 7 is not above version 7 in force: daemons ignore it",
		`difference: route "ab": removed`,
		`difference: route "a": timeout changes from 1s to 2s`,
		`difference: route "new": added`,
		`difference: service "u": cold rate changes from 1 to 2.5`,
		"difference: limits: body bytes changes from 100 to 99",
	})
	assert.Equal(t, len(r.NotChecked), 2) // the regions and servers of the hosts
}
