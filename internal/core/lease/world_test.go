package lease

import (
	"math"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// The clocks of the model: a process's clock advances by its rate in each step
// of real time; the rates differ from the middle one by the bound of the drift.
const (
	slowRate = 4
	midRate  = 5
	fastRate = 6
)

var modelConfig = Config{TTL: 15, RenewEvery: 8, DriftPerMille: 200, ClaimStagger: 8}

// model is one setting of the exploration: process 0 holds the group first.
type model struct {
	rates      []int
	sets       [][]int // witness sets of versions 1, 2, ... by process
	successors []int
	release    bool // the holder may give the slice up
	restart    int  // process that may restart; negative: none
	pauses     int
	repeats    int
	inFlight   int // messages kept; older ones are lost
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

// process is one member; it may miss any number of steps.
type process struct {
	node    *Node
	clock   ident.Instant
	paused  bool
	version int    // folded version of the group
	moved   bool   // folded the assignment of the slice elsewhere
	state   []byte // encoded node; nil after a change
}

type flight struct {
	to  int
	m   Message
	key string // equal for equal messages
}

func newFlight(s *Send) flight {
	name, data, err := EncodeMessage(s.Message)
	if err != nil {
		panic(err)
	}
	return flight{to: int(s.To.Host[0] - 'a'), m: s.Message, key: s.To.String() + name + string(data)}
}

// world is one state of the model.
type world struct {
	model    *model
	rules    rules
	step     int
	procs    []process
	flights  []flight
	pauses   int
	repeats  int
	restarts int
	given    bool // the holder called Release
	done     bool // ReleaseDone was reported
	moved    bool // the log assigns the slice to another group
}

func newWorld(m *model, r rules) *world {
	w := &world{model: m, rules: r, procs: make([]process, len(m.rates))}
	for i := range w.procs {
		w.procs[i] = process{node: w.newNode(i, 1), clock: 100, version: 1}
		w.run(i, w.procs[i].node.SetGroups(100, w.groups(1)))
	}
	w.run(0, w.procs[0].node.Tick(100))
	for len(w.flights) > 0 {
		w.deliver(0, false)
	}
	return w
}

func (w *world) newNode(i int, inc ident.Incarnation) *Node {
	n := NewNode(ident.Member{Host: member(i).Host, Incarnation: inc}, modelConfig)
	n.rules = w.rules
	return n
}

func (w *world) groups(version int) []Group {
	g := Group{
		ID:         modelGroup,
		Version:    uint32(version),
		Witnesses:  members(w.model.sets[version-1]),
		Successors: members(w.model.successors),
		Claim:      1,
		Holder:     modelGroup,
	}
	for v := 1; v < version; v++ {
		g.Earlier = append(g.Earlier, WitnessSet{Version: uint32(v), Witnesses: members(w.model.sets[v-1])})
	}
	return []Group{g}
}

// run carries the commands of process i out.
func (w *world) run(i int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case *Send:
			w.flights = append(w.flights, newFlight(c))
		case *ReleaseDone:
			w.done = true
		}
	}
	if extra := len(w.flights) - w.model.inFlight; extra > 0 && w.step > 0 {
		w.flights = slices.Delete(w.flights, 0, extra)
	}
}

// change returns a process whose node may be changed.
func (w *world) change(i int) *process {
	p := &w.procs[i]
	p.node = p.node.clone()
	p.state = nil
	return p
}

func (w *world) deliver(i int, keep bool) {
	f := w.flights[i]
	if !keep {
		w.flights = slices.Delete(w.flights, i, i+1)
	}
	p := w.change(f.to)
	w.run(f.to, p.node.HandleMessage(p.clock, ident.Member{}, f.m))
}

// advance lets one step of real time pass; processes that are not paused do
// what is due.
func (w *world) advance() {
	w.step++
	for i := range w.procs {
		p := &w.procs[i]
		p.clock += ident.Instant(w.model.rates[i])
	}
	for i := range w.procs {
		p := &w.procs[i]
		if next, ok := p.node.NextWake(); ok && next <= p.clock && !p.paused {
			w.run(i, w.change(i).node.Tick(p.clock))
		}
	}
}

// restart replaces a process by its next incarnation, which folds the log.
func (w *world) restart(i int) {
	p := w.change(i)
	w.restarts++
	p.node = w.newNode(i, 2)
	w.run(i, p.node.SetGroups(p.clock-1000, w.groups(p.version)))
}

func (w *world) fold(i int) {
	p := w.change(i)
	if p.version < len(w.model.sets) {
		p.version++
		w.run(i, p.node.SetGroups(p.clock, w.groups(p.version)))
		return
	}
	p.moved = true
	p.node.SettleReleases(1, func(Release) bool { return true })
}

func (w *world) canFold(i int) bool {
	p := &w.procs[i]
	return p.version < len(w.model.sets) || (w.moved && !p.moved)
}

// serves reports whether process i takes the slice for its own now.
func (w *world) serves(i int) bool {
	p := &w.procs[i]
	if p.moved {
		return false
	}
	if _, _, ok := p.node.ValidLease(p.clock, modelGroup); !ok {
		return false
	}
	h := p.node.groups[modelGroup].holder
	return h.floor == 0 && !slices.Contains(h.releases(), modelRelease)
}

// owners counts who serves the slice; the group that the log assigns it to
// serves it from the append on.
func (w *world) owners() int {
	count := 0
	if w.moved {
		count++
	}
	for i := range w.procs {
		if w.serves(i) {
			count++
		}
	}
	return count
}

// action is one step of the model.
type action struct {
	kind  string
	index int
}

func (w *world) actions() []action {
	out := []action{{"advance", 0}}
	for i := range w.flights {
		if w.procs[w.flights[i].to].paused || w.sameBefore(i) {
			continue
		}
		out = append(out, action{"deliver", i})
		if w.repeats < w.model.repeats {
			out = append(out, action{"repeat", i})
		}
	}
	for i := range w.procs {
		if w.canFold(i) {
			out = append(out, action{"fold", i})
		}
		if w.procs[i].paused || w.pauses < w.model.pauses {
			out = append(out, action{"pause", i})
		}
	}
	if w.model.restart >= 0 && w.restarts == 0 {
		out = append(out, action{"restart", w.model.restart})
	}
	if w.model.release && !w.given && w.serves(0) {
		out = append(out, action{"release", 0})
	}
	if w.done && !w.moved {
		out = append(out, action{"append", 0})
	}
	return out
}

// sameBefore reports whether an equal message is earlier in flight.
func (w *world) sameBefore(i int) bool {
	return slices.ContainsFunc(w.flights[:i], func(f flight) bool { return f.key == w.flights[i].key })
}

func (w *world) apply(a action) {
	p := &w.procs[a.index%len(w.procs)]
	switch a.kind {
	case "advance":
		w.advance()
	case "deliver":
		w.deliver(a.index, false)
	case "repeat":
		w.repeats++
		w.deliver(a.index, true)
	case "fold":
		w.fold(a.index)
	case "pause":
		if !p.paused {
			w.pauses++
		}
		p.paused = !p.paused
	case "restart":
		w.restart(a.index)
	case "release":
		w.given = true
		w.change(0)
		_, cmds := p.node.ReleaseSlices(p.clock, modelGroup, []Release{modelRelease})
		w.run(0, cmds)
	case "append":
		w.moved = true
	}
}

// heal lets every process run and every message arrive, for long enough that a
// lapsed lease is claimed.
func (w *world) heal() {
	lossless := *w.model
	lossless.inFlight = math.MaxInt
	w.model = &lossless
	for i := range w.procs {
		w.procs[i].paused = false
		for w.canFold(i) {
			w.fold(i)
		}
	}
	for range 12 * int(modelConfig.TTL) / slowRate {
		w.advance()
		for len(w.flights) > 0 {
			w.deliver(0, false)
		}
	}
}
