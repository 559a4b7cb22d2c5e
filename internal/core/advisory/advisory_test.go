package advisory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

var (
	first  = roster.Instance{ID: "i", StartedMS: 1}
	second = roster.Instance{ID: "i", StartedMS: 2}
)

func limited(perSecond float64) advisory.Statement {
	return advisory.Statement{Limited: true, Limit: perSecond}
}

func at(ms int) ident.Instant {
	return ident.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

// An answer to an earlier request that overtakes the first answer with a limit must not
// end the limit.
func TestOvertakingAnswerDoesNotEndLimit(t *testing.T) {
	var tr advisory.Tracker
	tr.SetInstance(first)
	tr.RecordAnswer(first, limited(20), at(50), at(100))
	tr.RecordAnswer(first, advisory.Statement{}, at(60), at(110))
	assert.Equal(t, tr.Limit(), 20.0)
	tr.RecordAnswer(first, advisory.Statement{InvalidLimit: "x"}, at(120), at(130))
	assert.Equal(t, tr.Limit(), 20.0)
	tr.RecordAnswer(first, advisory.Statement{}, at(120), at(140))
	assert.Equal(t, tr.Limit(), 0.0)
}

// Without a request now and then, a server with a limit of zero could never state its end.
func TestLimitOfZeroLeavesTrialRequests(t *testing.T) {
	var tr advisory.Tracker
	tr.SetInstance(first)
	tr.RecordAnswer(first, limited(0), at(0), at(1))
	assert.Assert(t, tr.Limit() > 0 && tr.Limit() <= 1)
}

// A new process beside the server relies on what other daemons were told, until the
// server answers.
func TestRestartedDaemonTakesLimitFromPeers(t *testing.T) {
	var tr advisory.Tracker
	tr.SetInstance(first)
	tr.RecordPeer(advisory.Advisory{Instance: second, Limit: 3})
	assert.Equal(t, tr.Limit(), 0.0, "a limit of another instance")
	tr.RecordPeer(advisory.Advisory{Instance: first, Limit: 3})
	assert.Equal(t, tr.Limit(), 3.0)
	tr.RecordAnswer(first, advisory.Statement{}, at(10), at(20))
	tr.RecordPeer(advisory.Advisory{Instance: first, Limit: 3})
	assert.Equal(t, tr.Limit(), 0.0, "the server's own answer is newer")
	tr.RecordAnswer(first, limited(5), at(30), at(40))
	tr.SetInstance(second)
	assert.Equal(t, tr.Limit(), 0.0, "a new instance starts without a limit")
}

// An answer of a daemon that was restarted and knows nothing must not erase what this
// daemon was told, unless the server itself has answered.
func TestBookKeepsAdvisoryUntilServerAnswers(t *testing.T) {
	b := advisory.NewBook()
	b.Record("h", &advisory.Advisory{Instance: first, Limit: 3}, true)
	b.Record("h", nil, false)
	assert.Equal(t, b.Of("h").Limit, 3.0)
	assert.Assert(t, b.Of("other") == nil)
	b.Record("h", nil, true)
	assert.Assert(t, b.Of("h") == nil)
}
