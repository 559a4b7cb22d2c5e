package heldmem

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// On each host a single request of the highest limits and its answer fit, neither kind leaves
// the other without room, and what is held stays under what the collector and the process may
// use.
func TestLimitsFollowFromMemory(t *testing.T) {
	const longestBody, longestAnswer = 80 << 20, 8 << 20 // of a body in chunks, with what it is copied from
	for _, mb := range []int64{96, 184, 284, 1000} {
		l := LimitsOf(mb * 1_000_000)
		assert.Assert(t, l.Over+baseline < mb*1_000_000, "%d MB", mb)
		assert.Assert(t, l.Over < l.Heap && l.Heap+notOfGoHeap <= mb*1_000_000, "%d MB", mb)
		assert.Assert(t, l.Total-l.Bodies >= longestAnswer*3/2 && l.Answers >= 2*longestAnswer, "%d MB", mb)
		assert.Assert(t, mb < 184 || l.Bodies >= longestBody, "%d MB: %d", mb, l.Bodies)
	}
	assert.Equal(t, LimitsOf(0).Bodies, int64(80<<20), "the bound of before")
	assert.Equal(t, LimitsOf(0).Connections(3076), 3076)
	assert.Equal(t, LimitsOf(284_000_000).Connections(3076), 3076)
}

// A crowd of slow readers comes to a host beside callers that read at once. The answers never
// exceed the bound, and only slow readers are cut; without a cut the others wait for ever.
func TestSlowReadersAreCutForOthers(t *testing.T) {
	const size, step = 8 << 20, 100 * time.Millisecond
	l := LimitsOf(184_000_000)
	type caller struct {
		Reader
		pace int64 // bytes in a step
	}
	var reading []caller
	var refused, whole, cut, held int64
	for tick := range 200 {
		now := ident.Instant(time.Duration(tick) * step)
		var rest []caller
		for _, c := range reading {
			if c.Taken += c.pace; c.Taken < c.Held {
				rest = append(rest, c)
				continue
			}
			held -= c.Held
			whole++
		}
		reading = rest
		pace := int64(4 << 10)
		if tick%2 == 0 {
			pace = 4 << 20
		}
		if held+size > l.Answers {
			var states []Reader
			for _, c := range reading {
				states = append(states, c.Reader)
			}
			for _, i := range ChooseCut(states, held+size-l.Answers, now) {
				assert.Assert(t, reading[i].pace < 1<<20, "a caller that reads at once was cut")
				held -= reading[i].Held
				reading[i].Held = 0 // it is gone in the next step
				cut++
			}
		}
		if held+size > l.Answers {
			refused++
			continue
		}
		held += size
		assert.Assert(t, held <= l.Answers)
		reading = append(reading, caller{Reader{Held: size, Since: now}, pace})
	}
	assert.Assert(t, refused == 0 && whole >= 95 && cut > 50, "%d refused, %d read whole, %d cut", refused, whole, cut)
	assert.Equal(t, len(ChooseCut([]Reader{{Held: size}}, 0, 1<<40)), 0, "nothing is needed")
	fresh := Reader{Held: size, Since: ident.Instant(time.Minute)} // its link has granted it no credit yet
	assert.DeepEqual(t, ChooseCut([]Reader{fresh, {Held: size / 8, Taken: 1}}, size, fresh.Since.Add(100*time.Millisecond)), []int{1})
}
