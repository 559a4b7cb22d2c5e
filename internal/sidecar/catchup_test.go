package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

func holder(host, region string, config uint64) roster.Entry {
	return roster.Entry{
		Member:   ident.Member{Host: ident.Host(host), Incarnation: 1},
		Location: ident.Location{Region: ident.Region(region)}, ConfigVersion: config,
	}
}

// A daemon that starts asks one peer for the configuration, not all: on a calm day
// of 18 daemons, documents were more bytes than all requests.
func TestOnePeerIsAskedForTheConfiguration(t *testing.T) {
	var c catchUp
	peers := []roster.Entry{holder("a", "far", 3), holder("b", "near", 3), holder("c", "near", 3), holder("d", "near", 0)}
	now := ident.Instant(time.Hour)
	to, ok := c.next(0, "near", peers, now)
	assert.Assert(t, ok)
	assert.Equal(t, to.Member.Host, ident.Host("b"))
	_, ok = c.next(0, "near", peers, now.Add(askConfigEvery/2))
	assert.Assert(t, !ok, "asked twice at once")
	to, ok = c.next(0, "near", peers, now.Add(askConfigEvery))
	assert.Assert(t, ok)
	assert.Equal(t, to.Member.Host, ident.Host("c"), "one that did not answer is asked again first")
	to, _ = c.next(0, "near", peers, now.Add(2*askConfigEvery))
	assert.Equal(t, to.Member.Host, ident.Host("a"))
}

// A daemon that has a configuration reads the next from the store, and asks only
// when that fails for a second.
func TestTheStoreIsGivenTimeFirst(t *testing.T) {
	var c catchUp
	peers := []roster.Entry{holder("a", "near", 3)}
	now := ident.Instant(time.Hour)
	_, ok := c.next(2, "near", peers, now)
	assert.Assert(t, !ok)
	_, ok = c.next(2, "near", peers, now.Add(behindTime))
	assert.Assert(t, ok)
	_, ok = c.next(3, "near", peers, now.Add(5*behindTime))
	assert.Assert(t, !ok)
}
