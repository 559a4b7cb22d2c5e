package transit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Load pattern: calls that their callers wait 250 ms for pass a link of 10 Mbit/s on which
// uploads make a queue of 600 ms for three seconds. Without the delay the receiver takes each
// for one that has its 250 ms left, and runs it although nobody waits any more.
func TestQueueOnTheWayIsNoTimeLeft(t *testing.T) {
	const left, way = 250 * time.Millisecond, 30 * time.Millisecond
	d := NewDelays()
	sender := ident.Member{Host: "a", Incarnation: 1}
	offset := 17 * time.Minute // between the clocks
	expired, late := 0, 0
	for at := time.Duration(0); at < 40*time.Second; at += 20 * time.Millisecond {
		queue := time.Duration(0)
		if at >= 30*time.Second && at < 33*time.Second {
			queue = 600 * time.Millisecond
		}
		sent := ident.Instant(time.Hour).Add(at)
		delay := d.Observe(sender, sent, sent.Add(offset+way+queue))
		if queue > left {
			late++
		}
		if delay > left {
			expired++
		}
		assert.Assert(t, queue > 0 || delay < 5*time.Millisecond, "%s at %s", delay, at)
	}
	assert.Equal(t, expired, late)
}

// A clock that was set, a process that starts anew, and a path that has become longer for good
// must not make a sender's requests look late for long.
func TestChangedClocksAndPathsAreLearned(t *testing.T) {
	d := NewDelays()
	now, sender := ident.Instant(time.Hour), ident.Member{Host: "a", Incarnation: 1}
	assert.Equal(t, d.Observe(sender, now, now.Add(time.Second)), time.Duration(0))
	assert.Equal(t, d.Observe(sender, now, now.Add(time.Hour)), time.Duration(0), "a clock that was set")
	assert.Equal(t, d.Observe(ident.Member{Host: "a", Incarnation: 2}, now, now.Add(2*time.Second)), time.Duration(0))

	longer := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if d.Observe(sender, now.Add(at), now.Add(at+time.Hour+50*time.Millisecond)) > 0 {
			longer++
		}
	}
	assert.Assert(t, longer <= int(2*baseWindow/(100*time.Millisecond)), "%d messages", longer)
}
