package sharedread

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func members(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Host: ident.Host(fmt.Sprintf("h%02d", i)), Reachable: true})
	}
	return out
}

const start = ident.Instant(time.Hour)

// In each failure domain of 33 daemons one reads the stream, so that 295 daemons make as
// many calls as nine.
func TestOneDaemonOfADomainReads(t *testing.T) {
	reading := 0
	for _, m := range members(33) {
		f := NewFollower(DefaultConfig(), m.Host)
		if source, _, ok := f.NextRequest(members(33), start); !ok {
			reading++
		} else {
			assert.Equal(t, source, ident.Host("h00"))
		}
	}
	assert.Equal(t, reading, 1)
	_, _, ok := NewFollower(DefaultConfig(), "h02").NextRequest(members(3), start)
	assert.Assert(t, !ok, "a small domain shares no reads")
}

// An answer proves a read that was sent at most its age before the request, whatever time
// the messages took.
func TestAnswerIsAsOldAsItsReadBeforeTheRequest(t *testing.T) {
	f := NewFollower(DefaultConfig(), "h05")
	_, seq, ok := f.NextRequest(members(9), start)
	assert.Assert(t, ok)
	late := start.Add(900 * time.Millisecond)
	sent, ok := f.ApplyAnswer("h00", seq, 500*time.Millisecond, true, late)
	assert.Assert(t, ok)
	assert.Equal(t, sent, start.Add(-510*time.Millisecond)) // with the drift of the source's clock
	assert.Assert(t, f.Follows(late))
	assert.Assert(t, !f.Follows(start.Add(1490*time.Millisecond)), "too old")

	for range rememberedRequests {
		f.NextRequest(members(9), late)
	}
	_, ok = f.ApplyAnswer("h00", seq, 0, true, late)
	assert.Assert(t, !ok, "the instant of that request is forgotten")
}

// A follower whose source does not answer asks the next one, and reads by itself
// meanwhile.
func TestSilentSourceIsReplaced(t *testing.T) {
	f := NewFollower(DefaultConfig(), "h05")
	now := start
	var source ident.Host
	for range 4 {
		source, _, _ = f.NextRequest(members(9), now)
		assert.Assert(t, !f.Follows(now))
		now = now.Add(500 * time.Millisecond)
	}
	assert.Equal(t, source, ident.Host("h01"))
}

// A follower that learns of records which do not arrive reads by itself.
func TestMissingRecordsEndFollowing(t *testing.T) {
	f := NewFollower(DefaultConfig(), "h05")
	_, seq, _ := f.NextRequest(members(9), start)
	f.ApplyAnswer("h00", seq, 0, true, start)
	_, seq, _ = f.NextRequest(members(9), start)
	_, reached := f.ApplyAnswer("h00", seq, 0, false, start)
	assert.Assert(t, !reached)
	assert.Assert(t, f.Follows(start.Add(100*time.Millisecond)))
	assert.Assert(t, !f.Follows(start.Add(300*time.Millisecond)))
	f.CaughtUp()
	assert.Assert(t, f.Follows(start.Add(300*time.Millisecond)))
}
