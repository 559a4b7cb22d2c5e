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
	first = roster.Instance{ID: "i", StartedMS: 1}
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
