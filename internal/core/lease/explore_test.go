package lease

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// explorer visits all states of a model that can be reached within a number of
// actions, depth first.
type explorer struct {
	visited   map[uint64]int // hash of a state -> greatest number of actions that remained on a visit
	path      []action       // actions that lead to the current state
	violation string         // path to a state with two owners; empty if none was found
}

func (e *explorer) visit(state *modelState, remaining int) {
	if state.owners() > 1 {
		e.violation = fmt.Sprint(e.path)
	}
	key := state.hash()
	if before, found := e.visited[key]; e.violation != "" || (found && before >= remaining) {
		return
	}
	e.visited[key] = remaining
	if remaining == 0 {
		return
	}
	for _, a := range state.possibleActions() {
		next := state.clone()
		next.apply(a)
		e.path = append(e.path, a)
		e.visit(next, remaining-1)
		e.path = e.path[:len(e.path)-1]
		if e.violation != "" {
			return
		}
	}
}

// explore visits all states up to depth, or until it finds one with two owners.
func explore(m *model, faults protocolFaults, depth int) *explorer {
	e := &explorer{visited: map[uint64]int{}}
	e.visit(newModelState(m, faults), depth)
	return e
}

// scenario is a model together with a protocol fault that leads to two owners in it.
type scenario struct {
	name      string
	model     model
	depth     int // number of actions in CI
	longDepth int // number of actions if BURDOCK_LONG is set
	fault     protocolFaults
}

var scenarios = []scenario{
	{
		name:  "claim before the grant lapsed",
		model: model{rates: []int{slowRate, midRate, fastRate}, sets: [][]int{{2}}, successors: []int{1}, restart: -1, repeats: 1, maxInFlight: 3},
		depth: 12, longDepth: 15,
		fault: protocolFaults{claimBeforeLapse: true},
	},
	{
		name:  "grant counted from receipt",
		model: model{rates: []int{slowRate, midRate, fastRate}, sets: [][]int{{2}}, successors: []int{1}, restart: -1, maxInFlight: 2},
		depth: 16, longDepth: 19,
		fault: protocolFaults{countFromReceipt: true},
	},
	{
		name:  "restarted witness answers",
		model: model{rates: []int{slowRate, fastRate, midRate}, sets: [][]int{{2}}, successors: []int{1}, restart: 2, pauses: 1, maxInFlight: 3},
		depth: 13, longDepth: 16,
		fault: protocolFaults{answerForFormerIncarnation: true},
	},
	{
		name:  "witness set changed without the old majority",
		model: model{rates: []int{slowRate, fastRate, midRate}, sets: [][]int{{1}, {2}}, successors: []int{1, 2}, restart: -1, maxInFlight: 3},
		depth: 13, longDepth: 16,
		fault: protocolFaults{skipOldMajority: true},
	},
	{
		name:  "released slice served by the claimant",
		model: model{rates: []int{slowRate, fastRate, midRate}, sets: [][]int{{2}}, successors: []int{1}, release: true, restart: -1, maxInFlight: 2},
		depth: 14, longDepth: 17,
		fault: protocolFaults{ignoreReleased: true},
	},
}

// wideScenario has the usual number of witnesses. It has too many states for the
// exploration to reach a takeover; the random schedules reach one.
var wideScenario = scenario{
	name:  "three witnesses, two successors",
	model: model{rates: []int{slowRate, fastRate, midRate, fastRate}, sets: [][]int{{1, 2, 3}}, successors: []int{1, 2}, restart: 3, maxInFlight: 5},
	depth: 8, longDepth: 12,
}

// TestExploreAllInterleavings checks that no order of events leads to two owners.
func TestExploreAllInterleavings(t *testing.T) {
	t.Parallel()
	for _, s := range append(slices.Clone(scenarios), wideScenario) {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			depth := s.depth
			if os.Getenv("BURDOCK_LONG") != "" {
				depth = s.longDepth
				s.model.maxInFlight++
			}
			e := explore(&s.model, protocolFaults{}, depth)
			t.Logf("%d states to depth %d", len(e.visited), depth)
			assert.Equal(t, e.violation, "")
		})
	}
}

// TestExploreFindsBrokenRules checks that the exploration finds two owners if any
// one rule of the protocol is disabled.
func TestExploreFindsBrokenRules(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			e := explore(&s.model, s.fault, s.depth)
			t.Logf("%d states, two owners after %s", len(e.visited), e.violation)
			assert.Assert(t, e.violation != "")
		})
	}
}

// TestRandomSchedulesHaveOneOwner runs schedules longer than the exploration can,
// with all kinds of faults together. After the faults end, the slice must be served
// again, unless its holder released it: it may then have no assignment.
func TestRandomSchedulesHaveOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		state := newModelState(&m, protocolFaults{})
		var path []string
		for range rapid.IntRange(50, 400).Draw(t, "length") {
			a := rapid.SampledFrom(state.possibleActions()).Draw(t, "action")
			state.apply(a)
			path = append(path, fmt.Sprint(a))
			assert.Assert(t, state.owners() <= 1, strings.Join(path, " "))
		}
		state.runWithoutFaults()
		if !state.releaseRequested {
			assert.Equal(t, state.owners(), 1, strings.Join(path, " "))
		}
	})
}

func drawModel(t *rapid.T) model {
	rates := rapid.SliceOfN(rapid.SampledFrom([]int{slowRate, midRate, fastRate}), 7, 7).Draw(t, "rates")
	permutation := rapid.Permutation([]int{1, 2, 3, 4, 5, 6})
	m := model{
		rates:       rates,
		successors:  permutation.Draw(t, "successors")[:2],
		release:     rapid.Bool().Draw(t, "release"),
		restart:     rapid.IntRange(-1, 6).Draw(t, "restart"),
		pauses:      2,
		repeats:     5,
		maxInFlight: rapid.IntRange(3, 20).Draw(t, "in flight"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "versions") {
		m.sets = append(m.sets, slices.Clone(permutation.Draw(t, "witnesses")[:3]))
	}
	return m
}

// hash returns the same value for equal states.
func (s *modelState) hash() uint64 { return xxhash.Sum64(s.encode()) }
