package lease

import (
	"math"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Rates of the clocks in the model: in each step of real time the clock of a
// process advances by its rate. The slow and the fast rate differ from the middle
// one by the bound on clock drift in modelConfig.
const (
	slowRate = 4
	midRate  = 5
	fastRate = 6
)

var modelConfig = Config{TTL: 15, RenewEvery: 8, DriftPerMille: 200, ClaimStagger: 8}

// model contains the parameters of an exploration. Process 0 is the first holder of
// the group.
type model struct {
	rates       []int
	sets        [][]int // witness sets of versions 1, 2, ... by process
	successors  []int   // processes in order of precedence
	release     bool    // process 0 may release the slice
	restart     int     // process that may restart once; negative if none may
	pauses      int     // greatest number of pauses of processes
	repeats     int     // greatest number of duplicated messages
	maxInFlight int     // number of messages kept in flight; older ones are lost
}

func member(i int) ident.Member {
	return ident.Member{Host: ident.Host(rune('a' + i)), Incarnation: 1}
}

func members(list []int) []ident.Member {
	var out []ident.Member
	for _, i := range list {
		out = append(out, member(i))
	}
	return out
}

var (
	modelGroup   = member(0)
	modelRelease = Release{Slice: ident.Slice{Service: "s"}, Prior: 1}
)

// process is one member. While paused it misses steps of real time.
type process struct {
	node       *Node
	clock      ident.Instant
	paused     bool
	version    int    // version of the group up to which the process has folded the log
	reassigned bool   // the process has folded the assignment of the slice to another group
	state      []byte // encoded node; nil if the node changed since
}

// sentMessage is a message in flight.
type sentMessage struct {
	to  int // process
	m   Message
	key string // equal for equal messages
}

func newSentMessage(s *Send) sentMessage {
	name, data, err := EncodeMessage(s.Message)
	if err != nil {
		panic(err)
	}
	return sentMessage{to: int(s.To.Host[0] - 'a'), m: s.Message, key: s.To.String() + name + string(data)}
}

// modelState is one state of the model.
type modelState struct {
	model            *model
	faults           protocolFaults
	step             int // steps of real time so far
	procs            []process
	inFlight         []sentMessage
	pauses           int  // number of pauses so far
	repeats          int  // number of duplicated messages so far
	restarts         int  // number of restarts so far
	releaseRequested bool // process 0 called ReleaseSlices
	releaseConfirmed bool // a process reported ReleaseDone
	reassigned       bool // the log assigns the slice to another group
}

// newModelState returns the state in which all processes know version 1 of the
// group, and process 0 holds it.
func newModelState(m *model, faults protocolFaults) *modelState {
	s := &modelState{model: m, faults: faults, procs: make([]process, len(m.rates))}
	for i := range s.procs {
		s.procs[i] = process{node: s.newNode(i, 1), clock: 100, version: 1}
		s.runCommands(i, s.procs[i].node.SetGroups(100, s.groups(1)))
	}
	s.runCommands(0, s.procs[0].node.Tick(100))
	for len(s.inFlight) > 0 {
		s.deliver(0, false)
	}
	return s
}

func (s *modelState) newNode(i int, inc ident.Incarnation) *Node {
	n := NewNode(ident.Member{Host: member(i).Host, Incarnation: inc}, modelConfig)
	n.faults = s.faults
	return n
}

// groups returns the group as recorded at a version.
func (s *modelState) groups(version int) []Group {
	g := Group{
		ID:         modelGroup,
		Version:    uint32(version),
		Witnesses:  members(s.model.sets[version-1]),
		Successors: members(s.model.successors),
		Claim:      1,
		Holder:     modelGroup,
	}
	for v := 1; v < version; v++ {
		g.Earlier = append(g.Earlier, WitnessSet{Version: uint32(v), Witnesses: members(s.model.sets[v-1])})
	}
	return []Group{g}
}

// runCommands executes the commands of process i. It drops the oldest messages in
// flight above the limit, except while newModelState sets up the state.
func (s *modelState) runCommands(i int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case *Send:
			s.inFlight = append(s.inFlight, newSentMessage(c))
		case *ReleaseDone:
			s.releaseConfirmed = true
		}
	}
	if extra := len(s.inFlight) - s.model.maxInFlight; extra > 0 && s.step > 0 {
		s.inFlight = slices.Delete(s.inFlight, 0, extra)
	}
}

// mutableProcess returns process i with a copy of its node that may be changed.
func (s *modelState) mutableProcess(i int) *process {
	p := &s.procs[i]
	p.node = p.node.clone()
	p.state = nil
	return p
}

// deliver delivers message i in flight; a kept message will be delivered again.
func (s *modelState) deliver(i int, keep bool) {
	f := s.inFlight[i]
	if !keep {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	p := s.mutableProcess(f.to)
	s.runCommands(f.to, p.node.HandleMessage(p.clock, ident.Member{}, f.m))
}

// advance lets one step of real time pass and calls Tick on each process that is
// not paused and has work due.
func (s *modelState) advance() {
	s.step++
	for i := range s.procs {
		p := &s.procs[i]
		p.clock += ident.Instant(s.model.rates[i])
	}
	for i := range s.procs {
		p := &s.procs[i]
		if next, ok := p.node.NextWake(); ok && next <= p.clock && !p.paused {
			s.runCommands(i, s.mutableProcess(i).node.Tick(p.clock))
		}
	}
}

// restart replaces a process by its next incarnation, which folds the log up to the
// same version.
func (s *modelState) restart(i int) {
	p := s.mutableProcess(i)
	s.restarts++
	p.node = s.newNode(i, 2)
	s.runCommands(i, p.node.SetGroups(p.clock-1000, s.groups(p.version)))
}

// fold lets a process fold the next record of the log: a new version of the group
// or the new assignment of the slice.
func (s *modelState) fold(i int) {
	p := s.mutableProcess(i)
	if p.version < len(s.model.sets) {
		p.version++
		s.runCommands(i, p.node.SetGroups(p.clock, s.groups(p.version)))
		return
	}
	p.reassigned = true
	p.node.SettleReleases(1, func(Release) bool { return true })
}

func (s *modelState) canFold(i int) bool {
	p := &s.procs[i]
	return p.version < len(s.model.sets) || (s.reassigned && !p.reassigned)
}

// serves reports whether process i currently considers itself the owner of the
// slice.
func (s *modelState) serves(i int) bool {
	p := &s.procs[i]
	if p.reassigned {
		return false
	}
	if _, _, ok := p.node.ValidLease(p.clock, modelGroup); !ok {
		return false
	}
	h := p.node.groups[modelGroup].holder
	return h.floor == 0 && !slices.Contains(h.releases(), modelRelease)
}

// owners returns the number of members that serve the slice. The group that the log
// newly assigns it to counts from the append of that assignment.
func (s *modelState) owners() int {
	count := 0
	if s.reassigned {
		count++
	}
	for i := range s.procs {
		if s.serves(i) {
			count++
		}
	}
	return count
}

// action is one transition of the model.
type action struct {
	kind  string
	index int // message in flight or process, depending on kind
}

// possibleActions returns the actions that apply to the state. Of equal messages in
// flight only the first is offered.
func (s *modelState) possibleActions() []action {
	out := []action{{"advance", 0}}
	for i := range s.inFlight {
		if s.procs[s.inFlight[i].to].paused || s.equalMessageBefore(i) {
			continue
		}
		out = append(out, action{"deliver", i})
		if s.repeats < s.model.repeats {
			out = append(out, action{"repeat", i})
		}
	}
	for i := range s.procs {
		if s.canFold(i) {
			out = append(out, action{"fold", i})
		}
		if s.procs[i].paused || s.pauses < s.model.pauses {
			out = append(out, action{"pause", i})
		}
	}
	if s.model.restart >= 0 && s.restarts == 0 {
		out = append(out, action{"restart", s.model.restart})
	}
	if s.model.release && !s.releaseRequested && s.serves(0) {
		out = append(out, action{"release", 0})
	}
	if s.releaseConfirmed && !s.reassigned {
		out = append(out, action{"append", 0})
	}
	return out
}

// equalMessageBefore reports whether a message equal to message i is before it in
// flight.
func (s *modelState) equalMessageBefore(i int) bool {
	return slices.ContainsFunc(s.inFlight[:i], func(f sentMessage) bool { return f.key == s.inFlight[i].key })
}

func (s *modelState) apply(a action) {
	p := &s.procs[a.index%len(s.procs)]
	switch a.kind {
	case "advance":
		s.advance()
	case "deliver":
		s.deliver(a.index, false)
	case "repeat":
		s.repeats++
		s.deliver(a.index, true)
	case "fold":
		s.fold(a.index)
	case "pause":
		if !p.paused {
			s.pauses++
		}
		p.paused = !p.paused
	case "restart":
		s.restart(a.index)
	case "release":
		s.releaseRequested = true
		s.mutableProcess(0)
		_, cmds := p.node.ReleaseSlices(p.clock, modelGroup, []Release{modelRelease})
		s.runCommands(0, cmds)
	case "append":
		s.reassigned = true
	}
}

// runWithoutFaults ends all pauses and delivers every message, for long enough that
// a lapsed lease is claimed.
func (s *modelState) runWithoutFaults() {
	lossless := *s.model
	lossless.maxInFlight = math.MaxInt
	s.model = &lossless
	for i := range s.procs {
		s.procs[i].paused = false
		for s.canFold(i) {
			s.fold(i)
		}
	}
	for range 12 * int(modelConfig.TTL) / slowRate {
		s.advance()
		for len(s.inFlight) > 0 {
			s.deliver(0, false)
		}
	}
}
