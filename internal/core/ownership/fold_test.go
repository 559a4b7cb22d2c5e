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

// oneIn24 lists the choices of a draw in which each case is rare.
var oneIn24 = [24]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23}

// historyGenerator draws the records of a history. Most of them can fold in the
// state so far; the others are repeated, stale, foreign, invalid or damaged.
type historyGenerator struct {
	t        *rapid.T
	naive    *naiveState
	off      ident.Offset
	lastSeqs map[ident.Member]uint64
	written  []record.Envelope // all records so far, for repetition
}

// pick draws one of the given values.
func pick[T any](h *historyGenerator, name string, from ...T) T {
	return rapid.SampledFrom(from).Draw(h.t, name)
}

// drawMember draws a member, whether it has joined or not.
func (h *historyGenerator) drawMember() ident.Member {
	host := pick(h, "host", ident.Host("a"), "b", "c", "d")
	return ident.Member{Host: host, Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(h.t, "inc"))}
}

// drawKnownMember tries a few times to draw a member that the state knows.
func (h *historyGenerator) drawKnownMember() ident.Member {
	for range 8 {
		m := h.drawMember()
		if _, ok := h.naive.Members[m]; ok {
			return m
		}
	}
	return h.drawMember()
}

// drawMembers draws one to three members for a role of a lease group.
func (h *historyGenerator) drawMembers() []ident.Member {
	var out []ident.Member
	for _, host := range []ident.Host{"a", "b", "c"} {
		out = append(out, ident.Member{Host: host, Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(h.t, "inc"))})
	}
	return out[:pick(h, "witnesses", 1, 2, 3, 3)]
}

// hotKeySlices returns the slices of hot keys in order.
func (h *historyGenerator) hotKeySlices() []ident.Slice {
	return slices.SortedFunc(maps.Keys(h.naive.HotKeys), func(a, b ident.Slice) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), cmp.Compare(a.Index, b.Index))
	})
}

// drawSlice draws a slice; it may not exist.
func (h *historyGenerator) drawSlice() ident.Slice {
	if hotSlices := h.hotKeySlices(); len(hotSlices) > 0 && pick(h, "hot", true, false, false) {
		return pick(h, "hot", hotSlices...)
	}
	return ident.Slice{Service: pick(h, "svc", ident.Service("s"), "r"), Index: rapid.Uint32Range(0, 9).Draw(h.t, "index")}
}

// drawTerm draws the current term or, rarely, the one before.
func (h *historyGenerator) drawTerm() ident.Term {
	return h.naive.Term - ident.Term(pick(h, "late", 0, 0, 0, 0, 1))
}

// drawServices draws the services of a configuration.
func (h *historyGenerator) drawServices() []config.Service {
	s := config.Service{Name: "s", Mode: config.Keyed, Slices: 4, Pool: "p"}
	r := config.Service{Name: "r", Mode: config.Keyed, Slices: 8, Pool: "p"}
	return pick(h, "services", []config.Service{s}, []config.Service{r, s}, []config.Service{r, s}, []config.Service{r})
}

// kindWeights lists the kinds of records that drawRecord knows, each as often as its
// weight.
var kindWeights = []int{0, 0, 2, 3, 4, 5, 6, 7, 7, 7, 8, 9, 9, 10, 10, 10, 10, 12, 12, 12, 13, 14}

// drawRecord draws a body and returns it with a writer that may write it.
func (h *historyGenerator) drawRecord() (ident.Member, record.Body) {
	m, leader := h.drawKnownMember(), h.naive.Leader
	switch rapid.SampledFrom(kindWeights).Draw(h.t, "kind") {
	case 0:
		m = h.drawMember()
		return m, &record.MemberJoined{Member: m, MeshAddr: "x"}
	case 2:
		return m, &record.MemberLeft{Member: m}
	case 3:
		return leader, &record.MemberLeft{Member: m, Reason: record.LeftGroupLost}
	case 4:
		return m, &record.BackendChanged{Member: m, Pool: "p", Draining: pick(h, "drain", true, false)}
	case 5:
		return m, &record.LeaderElected{Term: h.drawTerm() + 1, Leader: m}
	case 6:
		return leader, &record.LeaderAlive{Term: h.drawTerm()}
	case 7, 8:
		for _, host := range []ident.Host{"a", "b", "c", "d"} {
			if lost := (ident.Member{Host: host, Incarnation: 1}); h.naive.Members[lost].LostGroup && pick(h, "lost", true, false) {
				m = lost
			}
		}
		version := h.naive.Groups[m].Version + uint32(pick(h, "version", 1, 1, 1, 0))
		return leader, &record.GroupSet{Term: h.drawTerm(), Group: m, Version: version, Witnesses: h.drawMembers(), Successors: h.drawMembers()}
	case 9:
		id := h.drawKnownMember()
		if next := h.naive.Groups[id].Successors; len(next) > 0 && pick(h, "listed", true, true, false) {
			m = next[0]
		}
		return m, &record.GroupClaimed{Group: id, Claimant: m, Claim: ident.Claim(rapid.IntRange(1, 5).Draw(h.t, "claim"))}
	case 10:
		a := &record.Assigned{Term: h.drawTerm(), To: m}
		writer := leader
		for range rapid.IntRange(1, 4).Draw(h.t, "moves") {
			s := h.drawSlice()
			info := h.naive.Slices[s]
			a.Moves = append(a.Moves, record.Move{Slice: s, PriorAssignment: info.Assignment - ident.Assignment(pick(h, "prior", 0, 0, 0, 1))})
			if g, ok := h.naive.Groups[info.Group]; ok && pick(h, "consent", true, true, false) {
				writer, a.Term = g.Holder, 0
			}
		}
		return writer, a
	case 12:
		s, key := h.drawSlice(), pick(h, "key", ident.KeyHash(1), 1<<62, 3<<62)
		if old, ok := h.naive.HotKeys[s]; ok {
			return leader, &record.HotKeySet{Term: h.drawTerm(), Service: s.Service, Key: old, Index: s.Index, Remove: true}
		}
		return leader, &record.HotKeySet{Term: h.drawTerm(), Service: s.Service, Key: key, Index: s.Index + 3, Remove: pick(h, "remove", true, false, false, false)}
	case 14:
		return leader, &record.SnapshotChunk{Term: h.drawTerm()}
	default:
		c := config.Change{Base: h.naive.cfg.Version - config.Version(pick(h, "base", 0, 0, 1)), Document: config.Document{Services: h.drawServices()}}
		return m, &record.ConfigChanged{Change: config.SignedChange{Change: c}}
	}
}

// nextEntry draws the next entry of the history, which may be faulty.
func (h *historyGenerator) nextEntry() entry {
	h.off++
	switch fault := pick(h, "fault", oneIn24[:]...); {
	case fault == 4:
		h.off += naiveForgetAfter
	case fault == 0:
		return entry{off: h.off}
	case fault == 1 && h.off > 1:
		h.off--
		return entry{off: h.off, env: record.Envelope{Writer: h.drawMember(), Seq: 99, Body: &record.LeaderAlive{}}}
	case fault <= 3 && len(h.written) > 0: // a writer resumed after a pause, or wrote again because it missed the answer
		return entry{off: h.off, env: h.written[rapid.IntRange(0, len(h.written)-1).Draw(h.t, "again")]}
	}
	w, body := h.drawRecord()
	if pick(h, "imposter", oneIn24[:]...) == 0 {
		w = h.drawMember()
	}
	h.lastSeqs[w]++
	env := record.Envelope{Version: record.Version, Writer: w, Seq: h.lastSeqs[w], Body: body}
	h.written = append(h.written, env)
	return entry{off: h.off, env: env}
}

// setupRecords returns the records that let four members join, give each of them a
// lease group, configure the services and assign slices to three of the groups.
func (h *historyGenerator) setupRecords(services []config.Service) []record.Envelope {
	c := config.Change{Document: config.Document{Services: services}}
	hosts := []ident.Host{"a", "b", "c", "d"}
	first := func(host ident.Host) ident.Member { return ident.Member{Host: host, Incarnation: 1} }
	var out []record.Envelope
	write := func(w ident.Member, b record.Body) {
		h.lastSeqs[w]++
		out = append(out, record.Envelope{Writer: w, Seq: h.lastSeqs[w], Body: b})
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

// drawHistory draws a history. Most histories start with setupRecords.
func drawHistory(t *rapid.T) []entry {
	n, _ := naiveFold(nil)
	h := &historyGenerator{t: t, naive: n, lastSeqs: map[ident.Member]uint64{}}
	var out []entry
	if pick(h, "opening", oneIn24[:]...) > 0 {
		for _, env := range h.setupRecords(h.drawServices()) {
			h.off++
			out = append(out, entry{off: h.off, env: env})
			h.naive.apply(out[len(out)-1])
		}
	}
	for range rapid.IntRange(1, 120).Draw(t, "length") {
		e := h.nextEntry()
		h.naive.apply(e)
		out = append(out, e)
	}
	return out
}

// apply folds an entry; an entry without a body is a damaged record.
func apply(s *State, e entry) Outcome {
	if e.env.Body == nil {
		return s.SkipDamagedRecord(e.off)
	}
	return s.Apply(e.off, e.env)
}

// readView reads a whole table through its methods and checks that they agree.
func readView(t assert.TestingT, table *Table) view {
	v := view{Members: map[ident.Member]MemberInfo{}, Groups: map[ident.Member]lease.Group{}, Slices: map[ident.Slice]SliceInfo{}, HotKeys: map[ident.Slice]ident.KeyHash{}}
	v.Leader, v.Term = table.Leader()
	v.LastLeaderOffset = table.LastLeaderOffset()
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
				v.HotKeys[info.Slice] = k
				assert.Equal(t, table.SliceFor(svc, k), info.Slice)
			}
		})
	}
	sliceCount := len(table.Unassigned())
	for _, g := range table.Groups() {
		v.Groups[g.ID] = g
		for _, info := range table.GroupSlices(g.ID) {
			assert.Equal(t, v.Slices[info.Slice], info)
			sliceCount++
		}
	}
	assert.Equal(t, sliceCount, len(v.Slices), "each slice is in one group or unassigned")
	return v
}

// TestFoldEqualsNaiveFold compares the fold with a simple implementation on random
// histories, and checks that a table does not change when later records fold.
func TestFoldEqualsNaiveFold(t *testing.T) {
	outcomeCounts := map[Outcome]int{}
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
			outcomeCounts[outcomes[i]]++
		}
		want, wantOutcomes := naiveFold(history)
		for i := range outcomes {
			assert.Equal(rt, outcomes[i], wantOutcomes[i], "record %d %T %+v", i, history[i].env.Body, history[i])
		}
		assert.Assert(rt, reflect.DeepEqual(readView(rt, s.Table()), want.view), "got  %+v\nwant %+v", readView(rt, s.Table()), want.view)
		if early != nil {
			want, _ := naiveFold(history[:cut])
			assert.Assert(rt, reflect.DeepEqual(readView(rt, early), want.view), "a table changed after it was handed out")
		}
	})
	for _, o := range Outcomes() {
		assert.Assert(t, outcomeCounts[o] > 0, "no history had a record that was %s: %v", o, outcomeCounts)
	}
	t.Logf("records by outcome: %v", outcomeCounts)
}

// TestRestoredStateFoldsLikeOriginal takes a snapshot within a random history,
// reassembles it from chunks in random order, and checks that the restored state
// folds the rest of the history like the original state.
func TestRestoredStateFoldsLikeOriginal(t *testing.T) {
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
		for _, c := range rapid.Permutation(chunks).Draw(rt, "order") {
			a.AddChunk(c)
			a.AddChunk(c)
		}
		got, nextOffset, ok := a.NewestSnapshot()
		assert.Assert(rt, ok && nextOffset == s.NextOffset() && bytes.Equal(got, data))
		restored, err := Restore(&fakeConfig{}, got)
		assert.NilError(rt, err)
		assert.Equal(rt, restored.Digest(), s.Digest())
		for _, e := range history[cut:] {
			assert.Equal(rt, apply(restored, e), apply(s, e), "%T %+v", e.env.Body, e)
		}
		assert.Equal(rt, restored.Digest(), s.Digest())
		assert.Assert(rt, reflect.DeepEqual(readView(rt, restored.Table()), readView(rt, s.Table())))
	})
}

func TestAssemblerRejectsDamagedAndOlderSnapshots(t *testing.T) {
	a := NewAssembler()
	addAll := func(chunks []*record.SnapshotChunk) (done bool) {
		for _, c := range chunks {
			done = a.AddChunk(c)
		}
		return done
	}
	damaged := SplitSnapshot(1, 20, []byte("damaged"), 3)
	damaged[1].Data = []byte("xxx")
	assert.Assert(t, !addAll(damaged))
	assert.Assert(t, addAll(SplitSnapshot(1, 10, []byte("first"), 2)))
	assert.Assert(t, !addAll(SplitSnapshot(2, 9, []byte("older"), 2)))
	assert.Assert(t, !addAll(SplitSnapshot(2, 30, []byte("incomplete"), 2)[1:]))
	data, nextOffset, _ := a.NewestSnapshot()
	assert.Equal(t, string(data), "first")
	assert.Equal(t, nextOffset, ident.Offset(10))
}

// FuzzRestore checks that Restore rejects any damaged snapshot with ErrSnapshot and
// that every state that it returns survives another snapshot unchanged.
func FuzzRestore(f *testing.F) {
	n, _ := naiveFold(nil)
	h := &historyGenerator{naive: n, lastSeqs: map[ident.Member]uint64{}}
	s := NewState(&fakeConfig{List: []config.Service{{Name: "s", Mode: config.Keyed, Slices: 4}, {Name: "r", Mode: config.Keyed, Slices: 8}}})
	for i, env := range h.setupRecords(nil) {
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
