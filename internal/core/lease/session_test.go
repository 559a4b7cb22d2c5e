package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// session runs four members, delivers messages immediately and records a trace.
type session struct {
	now    ident.Instant
	nodes  map[ident.Member]*Node
	failed ident.Member // neither sends nor receives messages
	trace  strings.Builder
}

// run executes the commands of a member and, recursively, those that follow from
// its messages.
func (s *session) run(from ident.Member, cmds []Command) {
	for _, c := range cmds {
		name := strings.TrimPrefix(fmt.Sprintf("%T", c), "*lease.")
		send, ok := c.(*Send)
		if !ok {
			fmt.Fprintf(&s.trace, "%4dms %s %s %+v\n", s.millis(), from.Host, name, c)
			continue
		}
		name = strings.TrimPrefix(fmt.Sprintf("%T", send.Message), "*lease.")
		fmt.Fprintf(&s.trace, "%4dms %s -> %s %s %+v\n", s.millis(), from.Host, send.To.Host, name, send.Message)
		if send.To != s.failed && from != s.failed {
			s.run(send.To, s.nodes[send.To].HandleMessage(s.now, from, send.Message))
		}
	}
}

func (s *session) millis() int64 { return time.Duration(s.now).Milliseconds() }

// TestTakeoverSession compares the trace of a takeover with the golden file: a
// holder releases a slice and then fails, and the first successor takes over the
// rest of the group.
func TestTakeoverSession(t *testing.T) {
	config := Config{TTL: 2 * time.Second, RenewEvery: 500 * time.Millisecond, DriftPerMille: 10, ClaimStagger: 250 * time.Millisecond}
	assert.NilError(t, config.Validate())
	g := Group{ID: member(0), Version: 1, Witnesses: members([]int{1, 2, 3}), Successors: members([]int{1, 2}), Claim: 1, Holder: member(0)}
	s := &session{nodes: map[ident.Member]*Node{}}
	for i := range 4 {
		n := NewNode(member(i), config)
		s.nodes[member(i)] = n
		s.run(member(i), n.SetGroups(0, []Group{g}))
	}
	for ; s.now < ident.Instant(3*time.Second); s.now = s.now.Add(10 * time.Millisecond) {
		if s.millis() == 600 {
			_, cmds := s.nodes[g.ID].ReleaseSlices(s.now, g.ID, []Release{modelRelease})
			s.run(g.ID, cmds)
			s.failed = g.ID
		}
		for i := range 4 {
			n := s.nodes[member(i)]
			if next, ok := n.NextWake(); ok && next <= s.now && n.self != s.failed {
				s.run(n.self, n.Tick(s.now))
			}
		}
	}
	golden.Assert(t, s.trace.String(), "takeover.golden")
}

// FuzzDecodeMessage checks that a node can process every message that decodes, and
// that the message can be encoded again.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		&RenewRequest{Holder: member(0), Next: &WitnessSet{Version: 2, Witnesses: members([]int{1})}, Released: []Release{modelRelease}},
		&RenewReply{Granted: true, Claim: 2},
		&ClaimRequest{Claimant: member(1), Claim: 3, TTL: time.Second},
		&ClaimReply{Refusal: NotLapsed, Wait: time.Second},
		&LapseHint{Witness: member(2)},
	} {
		name, data, err := EncodeMessage(m)
		assert.NilError(f, err)
		decoded, err := DecodeMessage(name, data)
		assert.NilError(f, err)
		assert.DeepEqual(f, decoded, m)
		f.Add(name, data)
	}
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		m, err := DecodeMessage(name, data)
		if err != nil {
			return
		}
		n := NewNode(member(1), modelConfig)
		n.SetGroups(100, []Group{{ID: member(0), Version: 1, Witnesses: members([]int{1, 2, 3}), Successors: members([]int{1}), Claim: 1, Holder: member(0)}})
		n.HandleMessage(200, member(0), m)
		_, _, err = EncodeMessage(m)
		assert.NilError(t, err)
	})
}

// TestReplacementCountsFromOneHolderOnly checks that a set which two holders each
// sent to a minority of the witnesses does not replace the old set: a third holder
// may have adopted another one between them.
func TestReplacementCountsFromOneHolderOnly(t *testing.T) {
	next := &WitnessSet{Version: 2, Witnesses: members([]int{4, 5, 6})}
	for _, c := range []struct {
		claims [2]ident.Claim
		active uint32
	}{{[2]ident.Claim{1, 5}, 1}, {[2]ident.Claim{5, 5}, 2}} {
		n := NewNode(member(1), modelConfig)
		g := Group{ID: member(0), Version: 1, Witnesses: members([]int{1, 2, 3}), Successors: members([]int{1}), Claim: 1, Holder: member(0)}
		n.SetGroups(100, []Group{g})
		view := View{Group: g.ID, Version: 1}
		n.HandleMessage(200, member(2), &LapseHint{View: view, Witness: member(2), Claim: 1})
		for i, claim := range c.claims {
			w := member(i + 2)
			n.HandleMessage(200, w, &ClaimReply{View: view, Witness: w, Probe: true, Seq: 1, Refusal: NotLapsed, Active: 1, Next: next, NextClaim: claim})
		}
		assert.Equal(t, n.groups[g.ID].active, c.active)
	}
}
