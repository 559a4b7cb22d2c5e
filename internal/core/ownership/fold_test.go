package ownership_test

import (
	"bytes"
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	. "github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// one is a range of which a case is drawn seldom.
var one = [24]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23}

// historian draws records that are mostly possible in the state so far, and
// otherwise repeated, stale, foreign or damaged.
type historian struct {
	t       *rapid.T
	n       *naive
	off     ident.Offset
	seqs    map[ident.Member]uint64
	written []record.Envelope
}

func pick[T any](h *historian, name string, from ...T) T {
	return rapid.SampledFrom(from).Draw(h.t, name)
}

func (h *historian) member() ident.Member {
	host := pick(h, "host", ident.Host("a"), "b", "c", "d")
	return ident.Member{Host: host, Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(h.t, "inc"))}
}

// known returns a member that joined, if there is one.
func (h *historian) known() ident.Member {
	for range 8 {
		m := h.member()
		if _, ok := h.n.Members[m]; ok {
			return m
		}
	}
	return h.member()
}

func (h *historian) known3() []ident.Member {
	var out []ident.Member
	for _, host := range []ident.Host{"a", "b", "c"} {
		out = append(out, ident.Member{Host: host, Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(h.t, "inc"))})
	}
	return out[:pick(h, "witnesses", 1, 2, 3, 3)]
}

// hot returns the hot keys in order.
func (h *historian) hot() []ident.Slice {
	return slices.SortedFunc(maps.Keys(h.n.Hot), func(a, b ident.Slice) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), cmp.Compare(a.Index, b.Index))
	})
}

func (h *historian) slice() ident.Slice {
	if hot := h.hot(); len(hot) > 0 && pick(h, "hot", true, false, false) {
		return pick(h, "hot", hot...)
	}
	return ident.Slice{Service: pick(h, "svc", ident.Service("s"), "r"), Index: rapid.Uint32Range(0, 9).Draw(h.t, "index")}
}

func (h *historian) term() ident.Term { return h.n.Term - ident.Term(pick(h, "late", 0, 0, 0, 0, 1)) }

func (h *historian) services() []config.Service {
	s := config.Service{Name: "s", Mode: config.Keyed, Slices: 4, Pool: "p"}
	r := config.Service{Name: "r", Mode: config.Keyed, Slices: 8, Pool: "p"}
	return pick(h, "services", []config.Service{s}, []config.Service{r, s}, []config.Service{r, s}, []config.Service{r})
}

// The kinds of records by how often they are drawn.
var kinds = []int{0, 0, 2, 3, 4, 5, 6, 7, 7, 7, 8, 9, 9, 10, 10, 10, 10, 12, 12, 12, 13, 14}

// draw returns a body and the writer that has the right to it.
func (h *historian) draw() (ident.Member, record.Body) {
	m, leader := h.known(), h.n.Leader
	switch rapid.SampledFrom(kinds).Draw(h.t, "kind") {
	case 0:
		m = h.member()
		return m, &record.MemberJoined{Member: m, MeshAddr: "x"}
	case 2:
		return m, &record.MemberLeft{Member: m}
	case 3:
		return leader, &record.MemberLeft{Member: m, Reason: record.LeftGroupLost}
	case 4:
		return m, &record.BackendChanged{Member: m, Pool: "p", Draining: pick(h, "drain", true, false)}
	case 5:
		return m, &record.LeaderElected{Term: h.term() + 1, Leader: m}
	case 6:
		return leader, &record.LeaderAlive{Term: h.term()}
	case 7, 8:
		for _, host := range []ident.Host{"a", "b", "c", "d"} {
			if lost := (ident.Member{Host: host, Incarnation: 1}); h.n.Members[lost].LostGroup && pick(h, "lost", true, false) {
				m = lost
			}
		}
		version := h.n.Groups[m].Version + uint32(pick(h, "version", 1, 1, 1, 0))
		return leader, &record.GroupSet{Term: h.term(), Group: m, Version: version, Witnesses: h.known3(), Successors: h.known3()}
	case 9:
		id := h.known()
		if next := h.n.Groups[id].Successors; len(next) > 0 && pick(h, "listed", true, true, false) {
			m = next[0]
		}
		return m, &record.GroupClaimed{Group: id, Claimant: m, Claim: ident.Claim(rapid.IntRange(1, 5).Draw(h.t, "claim"))}
	case 10:
		a := &record.Assigned{Term: h.term(), To: m}
		writer := leader
		for range rapid.IntRange(1, 4).Draw(h.t, "moves") {
			s := h.slice()
			info := h.n.Slices[s]
			a.Moves = append(a.Moves, record.Move{Slice: s, PriorAssignment: info.Assignment - ident.Assignment(pick(h, "prior", 0, 0, 0, 1))})
			if g, ok := h.n.Groups[info.Group]; ok && pick(h, "consent", true, true, false) {
				writer, a.Term = g.Holder, 0
			}
		}
		return writer, a
	case 12:
		s, key := h.slice(), pick(h, "key", ident.KeyHash(1), 1<<62, 3<<62)
		if old, ok := h.n.Hot[s]; ok {
			return leader, &record.HotKeySet{Term: h.term(), Service: s.Service, Key: old, Index: s.Index, Remove: true}
		}
		return leader, &record.HotKeySet{Term: h.term(), Service: s.Service, Key: key, Index: s.Index + 3, Remove: pick(h, "remove", true, false, false, false)}
	case 14:
		return leader, &record.SnapshotChunk{Term: h.term()}
	default:
		c := config.Change{Base: h.n.cfg.Version - config.Version(pick(h, "base", 0, 0, 1)), Document: config.Document{Services: h.services()}}
		return m, &record.ConfigChanged{Change: config.SignedChange{Change: c}}
	}
}

func (h *historian) next() entry {
	h.off++
	switch fault := pick(h, "fault", one[:]...); {
	case fault == 4:
		h.off += naiveForget
	case fault == 0:
		return entry{off: h.off}
	case fault == 1 && h.off > 1:
		h.off--
		return entry{off: h.off, env: record.Envelope{Writer: h.member(), Seq: 99, Body: &record.LeaderAlive{}}}
	case fault <= 3 && len(h.written) > 0: // a paused writer, or a lost answer
		return entry{off: h.off, env: h.written[rapid.IntRange(0, len(h.written)-1).Draw(h.t, "again")]}
	}
	w, body := h.draw()
	if pick(h, "imposter", one[:]...) == 0 {
		w = h.member()
	}
	h.seqs[w]++
	env := record.Envelope{Version: record.Version, Writer: w, Seq: h.seqs[w], Body: body}
	h.written = append(h.written, env)
	return entry{off: h.off, env: env}
}

// opening brings up four members that each have a group, and two services.
func (h *historian) opening(services []config.Service) []record.Envelope {
	c := config.Change{Document: config.Document{Services: services}}
	hosts := []ident.Host{"a", "b", "c", "d"}
	first := func(host ident.Host) ident.Member { return ident.Member{Host: host, Incarnation: 1} }
	var out []record.Envelope
	write := func(w ident.Member, b record.Body) {
		h.seqs[w]++
		out = append(out, record.Envelope{Writer: w, Seq: h.seqs[w], Body: b})
	}
	for _, host := range hosts {
		write(first(host), &record.MemberJoined{Member: first(host)})
	}
	write(first("a"), &record.ConfigChanged{Change: config.SignedChange{Change: c}})
	write(first("a"), &record.LeaderElected{Term: 1, Leader: first("a")})
	for i, host := range hosts {
		m, next := first(host), first(hosts[(i+1)%len(hosts)])
		write(first("a"), &record.GroupSet{Term: 1, Group: m, Version: 1, Witnesses: []ident.Member{m}, Successors: []ident.Member{next}})
		if host == "d" {
			break
		}
		write(first("a"), &record.Assigned{Term: 1, To: m, Moves: []record.Move{{Slice: ident.Slice{Service: "s", Index: uint32(i)}}, {Slice: ident.Slice{Service: "r", Index: uint32(2 * i)}}}})
	}
	return out
}

func drawHistory(t *rapid.T) []entry {
	n, _ := naiveFold(nil)
	h := &historian{t: t, n: n, seqs: map[ident.Member]uint64{}}
	var out []entry
	if pick(h, "opening", one[:]...) > 0 {
		for _, env := range h.opening(h.services()) {
			h.off++
			out = append(out, entry{off: h.off, env: env})
			h.n.step(out[len(out)-1])
		}
	}
	for range rapid.IntRange(1, 120).Draw(t, "length") {
		e := h.next()
		h.n.step(e)
		out = append(out, e)
	}
	return out
}

func apply(s *State, e entry) Outcome {
	if e.env.Body == nil {
		return s.SkipDamagedRecord(e.off)
	}
	return s.Apply(e.off, e.env)
}

// viewOf reads a whole table through its methods.
func viewOf(t assert.TestingT, table *Table) view {
	v := view{Members: map[ident.Member]MemberInfo{}, Groups: map[ident.Member]lease.Group{}, Slices: map[ident.Slice]SliceInfo{}, Hot: map[ident.Slice]ident.KeyHash{}}
	v.Leader, v.Term = table.Leader()
	v.Seen = table.LastLeaderOffset()
	for _, host := range []ident.Host{"a", "b", "c", "d"} {
		for i := ident.Incarnation(1); i <= 3; i++ {
			if info, ok := table.Member(ident.Member{Host: host, Incarnation: i}); ok {
				v.Members[info.Member] = info
			}
		}
	}
	for _, m := range table.Members() {
		assert.DeepEqual(t, v.Members[m.Member], m)
	}
	for _, svc := range table.Config().Services() {
		table.EachSlice(svc.Name, func(info SliceInfo) {
			v.Slices[info.Slice] = info
			if k, ok := table.HotKey(info.Slice); ok {
				v.Hot[info.Slice] = k
				assert.Equal(t, table.SliceFor(svc, k), info.Slice)
			}
		})
	}
	held := len(table.Unassigned())
	for _, g := range table.Groups() {
		v.Groups[g.ID] = g
		for _, info := range table.GroupSlices(g.ID) {
			assert.Equal(t, v.Slices[info.Slice], info)
			held++
		}
	}
	assert.Equal(t, held, len(v.Slices), "each slice is in one group or unassigned")
	return v
}

func TestFoldEqualsNaiveFold(t *testing.T) {
	seen := map[Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		cut := rapid.IntRange(0, len(history)).Draw(rt, "cut")
		s := NewState(&fakeConfig{})
		var early *Table
		var outcomes []Outcome
		for i, e := range history {
			if i == cut {
				early = s.Table()
			}
			outcomes = append(outcomes, apply(s, e))
			seen[outcomes[i]]++
		}
		want, wantOutcomes := naiveFold(history)
		for i := range outcomes {
			assert.Equal(rt, outcomes[i], wantOutcomes[i], "record %d %T %+v", i, history[i].env.Body, history[i])
		}
		assert.Assert(rt, reflect.DeepEqual(viewOf(rt, s.Table()), want.view), "got  %+v\nwant %+v", viewOf(rt, s.Table()), want.view)
		if early != nil {
			want, _ := naiveFold(history[:cut])
			assert.Assert(rt, reflect.DeepEqual(viewOf(rt, early), want.view), "a table changed after it was handed out")
		}
	})
	for _, o := range Outcomes() {
		assert.Assert(t, seen[o] > 0, "no history had a record that was %s: %v", o, seen)
	}
	t.Logf("records by outcome: %v", seen)
}

func TestRestoredFoldContinuesAlike(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		cut := rapid.IntRange(0, len(history)).Draw(rt, "cut")
		s := NewState(&fakeConfig{})
		for _, e := range history[:cut] {
			apply(s, e)
		}
		data, err := s.Snapshot()
		assert.NilError(rt, err)
		a := NewAssembler()
		chunks := SplitSnapshot(1, s.NextOffset(), data, rapid.IntRange(1, 400).Draw(rt, "size"))
		for _, i := range rapid.Permutation(chunks).Draw(rt, "order") {
			a.AddChunk(i)
			a.AddChunk(i)
		}
		got, at, ok := a.NewestSnapshot()
		assert.Assert(rt, ok && at == s.NextOffset() && bytes.Equal(got, data))
		restored, err := Restore(&fakeConfig{}, got)
		assert.NilError(rt, err)
		assert.Equal(rt, restored.Digest(), s.Digest())
		for _, e := range history[cut:] {
			assert.Equal(rt, apply(restored, e), apply(s, e), "%T %+v", e.env.Body, e)
		}
		assert.Equal(rt, restored.Digest(), s.Digest())
		assert.Assert(rt, reflect.DeepEqual(viewOf(rt, restored.Table()), viewOf(rt, s.Table())))
	})
}

func TestAssemblerRefusesWrongAndOlderSnapshots(t *testing.T) {
	a := NewAssembler()
	feed := func(chunks []*record.SnapshotChunk) (done bool) {
		for _, c := range chunks {
			done = a.AddChunk(c)
		}
		return done
	}
	wrong := SplitSnapshot(1, 20, []byte("damaged"), 3)
	wrong[1].Data = []byte("xxx")
	assert.Assert(t, !feed(wrong))
	assert.Assert(t, feed(SplitSnapshot(1, 10, []byte("first"), 2)))
	assert.Assert(t, !feed(SplitSnapshot(2, 9, []byte("older"), 2)))
	assert.Assert(t, !feed(SplitSnapshot(2, 30, []byte("incomplete"), 2)[1:]))
	data, at, _ := a.NewestSnapshot()
	assert.Equal(t, string(data), "first")
	assert.Equal(t, at, ident.Offset(10))
}

func FuzzRestore(f *testing.F) {
	n, _ := naiveFold(nil)
	h := &historian{n: n, seqs: map[ident.Member]uint64{}}
	s := NewState(&fakeConfig{List: []config.Service{{Name: "s", Mode: config.Keyed, Slices: 4}, {Name: "r", Mode: config.Keyed, Slices: 8}}})
	for i, env := range h.opening(nil) {
		s.Apply(ident.Offset(i), env)
	}
	seed, err := s.Snapshot()
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Restore(&fakeConfig{}, data)
		if err != nil {
			assert.ErrorIs(t, err, ErrSnapshot)
			return
		}
		again, err := first.Snapshot()
		assert.NilError(t, err)
		second, err := Restore(&fakeConfig{}, again)
		assert.NilError(t, err)
		assert.Equal(t, first.Digest(), second.Digest())
	})
}
