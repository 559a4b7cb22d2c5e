package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

func entryWithConfig(host, region string, config uint64) roster.Entry {
	return roster.Entry{
		Member:   ident.Member{Host: ident.Host(host), Incarnation: 1},
		Location: ident.Location{Region: ident.Region(region)}, ConfigVersion: config,
	}
}

// A daemon that starts requests the configuration from one peer at a time. When it
// asked all peers at once, configuration documents took more bytes than all requests
// on a calm day with 18 daemons.
func TestConfigIsRequestedFromOnePeerAtATime(t *testing.T) {
	var c catchUp
	peers := []roster.Entry{entryWithConfig("a", "far", 3), entryWithConfig("b", "near", 3), entryWithConfig("c", "near", 3), entryWithConfig("d", "near", 0)}
	now := ident.Instant(time.Hour)
	to, ok := c.choosePeer(0, "near", peers, now)
	assert.Assert(t, ok)
	assert.Equal(t, to.Member.Host, ident.Host("b"))
	_, ok = c.choosePeer(0, "near", peers, now.Add(configRequestInterval/2))
	assert.Assert(t, !ok, "asked twice at once")
	to, ok = c.choosePeer(0, "near", peers, now.Add(configRequestInterval))
	assert.Assert(t, ok)
	assert.Equal(t, to.Member.Host, ident.Host("c"), "one that did not answer is asked again first")
	to, _ = c.choosePeer(0, "near", peers, now.Add(2*configRequestInterval))
	assert.Equal(t, to.Member.Host, ident.Host("a"))
}

// A daemon that has a configuration reads the next version from the store, and asks a
// peer only if it still lacks that version after storeReadGrace.
func TestPeersAreAskedOnlyAfterStoreReadGrace(t *testing.T) {
	var c catchUp
	peers := []roster.Entry{entryWithConfig("a", "near", 3)}
	now := ident.Instant(time.Hour)
	_, ok := c.choosePeer(2, "near", peers, now)
	assert.Assert(t, !ok)
	_, ok = c.choosePeer(2, "near", peers, now.Add(storeReadGrace))
	assert.Assert(t, ok)
	_, ok = c.choosePeer(3, "near", peers, now.Add(5*storeReadGrace))
	assert.Assert(t, !ok)
}
