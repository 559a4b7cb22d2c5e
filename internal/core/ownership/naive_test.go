package ownership_test

import (
	"errors"
	"slices"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	. "github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// fakeConfig accepts a change that names the version in force.
type fakeConfig struct {
	Version config.Version   `codec:"v"`
	List    []config.Service `codec:"l"`
}

func (c *fakeConfig) Apply(s config.SignedChange) bool {
	if s.Change.Base != c.Version {
		return false
	}
	c.Version++
	c.List = s.Change.Document.Services
	return true
}

func (c *fakeConfig) InForce() ConfigView     { return &fakeConfig{c.Version, c.List} }
func (c *fakeConfig) Export() ([]byte, error) { return codec.Marshal(c) }
func (c *fakeConfig) Import(b []byte) error {
	*c = fakeConfig{}
	return codec.Unmarshal(b, c)
}
func (c *fakeConfig) Services() []config.Service { return c.List }
func (c *fakeConfig) Digest() [32]byte           { return [32]byte{byte(c.Version)} }
func (c *fakeConfig) Service(n ident.Service) (config.Service, bool) {
	for _, s := range c.List {
		if s.Name == n {
			return s, true
		}
	}
	return config.Service{}, false
}

// entry is one record of a history; a nil body is a damaged record.
type entry struct {
	off ident.Offset
	env record.Envelope
}

// view is what the fold decides, in plain maps.
type view struct {
	Term    ident.Term
	Leader  ident.Member
	Seen    ident.Offset
	Members map[ident.Member]MemberInfo
	Groups  map[ident.Member]lease.Group
	Slices  map[ident.Slice]SliceInfo
	Hot     map[ident.Slice]ident.KeyHash
}

// naive folds a whole history with plain maps and no indexes.
type naive struct {
	view
	cfg      fakeConfig
	next     ident.Offset
	floor    ident.Assignment
	seqs     map[ident.Member]uint64
	idleFrom map[ident.Member]ident.Offset // absent and without a group since
	former   map[ident.Member][]ident.Member
}

const naiveForget = 1 << 18

func naiveFold(history []entry) (*naive, []Outcome) {
	n := &naive{
		view:     view{Members: map[ident.Member]MemberInfo{}, Groups: map[ident.Member]lease.Group{}, Slices: map[ident.Slice]SliceInfo{}, Hot: map[ident.Slice]ident.KeyHash{}},
		seqs:     map[ident.Member]uint64{},
		idleFrom: map[ident.Member]ident.Offset{},
		former:   map[ident.Member][]ident.Member{},
	}
	var outcomes []Outcome
	for _, e := range history {
		outcomes = append(outcomes, n.step(e))
	}
	return n, outcomes
}

var errRefused = errors.New("refused")

func (n *naive) step(e entry) Outcome {
	if e.off < n.next {
		return Repeated
	}
	n.next = e.off + 1
	for m, from := range n.idleFrom {
		if e.off > from+naiveForget {
			delete(n.Members, m)
			delete(n.seqs, m)
			delete(n.idleFrom, m)
		}
	}
	if e.env.Body == nil {
		return Damaged
	}
	w := e.env.Writer
	last, known := n.seqs[w]
	_, isJoin := e.env.Body.(*record.MemberJoined)
	change, isConfig := e.env.Body.(*record.ConfigChanged)
	switch {
	case known && e.env.Seq <= last:
		return Repeated
	case !known && !isJoin && !isConfig:
		return Foreign
	case known:
		n.seqs[w] = e.env.Seq
	}
	if isConfig {
		if !n.cfg.Apply(change.Change) {
			return Rejected
		}
		n.services()
		n.sweep(e.off)
		return Folded
	}
	o := n.body(e.off, w, e.env.Seq, e.env.Body)
	n.sweep(e.off)
	return o
}

// sweep drops what has no reason to stay, by looking at everything.
func (n *naive) sweep(off ident.Offset) {
	for id, g := range n.Groups {
		info := n.Members[id]
		if (g.Holder == id && info.Present) || n.holds(id) {
			continue
		}
		delete(n.Groups, id)
		delete(n.former, id)
		info.LostGroup = info.Present
		n.Members[id] = info
	}
	for m, info := range n.Members {
		_, queued := n.idleFrom[m]
		if _, grouped := n.Groups[m]; !info.Present && !grouped && !queued {
			n.idleFrom[m] = off
		}
	}
}

func (n *naive) holds(id ident.Member) bool {
	for _, s := range n.Slices {
		if s.Group == id {
			return true
		}
	}
	return false
}

func (n *naive) services() {
	for s, info := range n.Slices {
		if _, ok := n.cfg.Service(s.Service); !ok {
			n.floor = max(n.floor, info.Assignment)
		}
	}
	for s := range n.Slices {
		if _, ok := n.cfg.Service(s.Service); !ok {
			delete(n.Slices, s)
			delete(n.Hot, s)
		}
	}
	for _, svc := range n.cfg.List {
		if _, ok := n.Slices[ident.Slice{Service: svc.Name}]; ok || svc.Mode != config.Keyed {
			continue
		}
		for i := range svc.Slices {
			s := ident.Slice{Service: svc.Name, Index: i}
			n.Slices[s] = SliceInfo{Slice: s, Assignment: n.floor}
		}
	}
}

func (n *naive) leads(off ident.Offset, w ident.Member, t ident.Term) bool {
	ok := t == n.Term && w == n.Leader && n.Members[w].Present
	if ok {
		n.Seen = off
	}
	return ok
}

func (n *naive) knowsAll(ms []ident.Member) bool {
	return !slices.ContainsFunc(ms, func(m ident.Member) bool { return n.Members[m].Member != m })
}

func folded(ok bool) Outcome {
	if ok {
		return Folded
	}
	return Stale
}

func (n *naive) body(off ident.Offset, w ident.Member, seq uint64, body record.Body) Outcome {
	switch b := body.(type) {
	case *record.MemberJoined:
		if w != b.Member {
			return Invalid
		}
		for m, old := range n.Members {
			if m.Host != w.Host {
				continue
			}
			if m.Incarnation >= w.Incarnation {
				return Stale
			}
			old.Present = false
			defer func() { n.sweep(off) }()
			n.Members[m] = old
		}
		n.Members[w] = MemberInfo{Member: w, Location: b.Location, MeshAddr: b.MeshAddr, Present: true}
		n.seqs[w] = seq
		return Folded
	case *record.MemberLeft:
		info := n.Members[b.Member]
		if !info.Present {
			return Stale
		}
		if b.Reason == record.LeftVoluntarily && w != b.Member {
			return Invalid
		}
		g, grouped := n.Groups[b.Member]
		if b.Reason != record.LeftVoluntarily && (!n.leads(off, w, n.Term) || grouped && g.Holder == b.Member) {
			return Stale
		}
		info.Present = false
		n.Members[b.Member] = info
		return Folded
	case *record.BackendChanged:
		if w != b.Member {
			return Invalid
		}
		info := n.Members[w]
		info.Pool, info.Draining, info.Capabilities = b.Pool, b.Draining, b.Capabilities
		if info.Present {
			n.Members[w] = info
		}
		return folded(info.Present)
	case *record.LeaderElected:
		if w != b.Leader {
			return Invalid
		}
		if b.Term != n.Term+1 || !n.Members[w].Present {
			return Stale
		}
		n.Term, n.Leader, n.Seen = b.Term, w, off
		return Folded
	case *record.LeaderAlive:
		return folded(n.leads(off, w, b.Term))
	case *record.SnapshotChunk:
		return folded(n.leads(off, w, b.Term))
	case *record.GroupSet:
		if len(b.Witnesses)%2 == 0 {
			return Invalid
		}
		if !n.leads(off, w, b.Term) || !n.knowsAll(b.Witnesses) || !n.knowsAll(b.Successors) {
			return Stale
		}
		g, ok := n.Groups[b.Group]
		if info := n.Members[b.Group]; !ok && (!info.Present || info.LostGroup) {
			return Stale
		}
		if !ok {
			g = lease.Group{ID: b.Group, Holder: b.Group, Claim: 1}
		}
		if b.Version != g.Version+1 {
			return Stale
		}
		n.former[b.Group] = append(n.former[b.Group], g.Successors...)
		g.Version, g.Witnesses, g.Successors = b.Version, b.Witnesses, b.Successors
		n.Groups[b.Group] = g
		return Folded
	case *record.GroupClaimed:
		if w != b.Claimant {
			return Invalid
		}
		g, ok := n.Groups[b.Group]
		if !ok || b.Claim <= g.Claim || (w != g.Holder && !slices.Contains(g.Successors, w) && !slices.Contains(n.former[b.Group], w)) {
			return Stale
		}
		g.Claim, g.Holder = b.Claim, w
		n.Groups[b.Group] = g
		return Folded
	case *record.Assigned:
		if b.Term != 0 && !n.leads(off, w, b.Term) {
			return Stale
		}
		var err error = errRefused
		for _, mv := range b.Moves {
			info, ok := n.Slices[mv.Slice]
			_, target := n.Groups[b.To]
			from, held := n.Groups[info.Group]
			mine := held && (from.Holder == w || slices.Contains(from.Successors, w))
			if !ok || !target || info.Assignment != mv.PriorAssignment || info.Group == b.To || (b.Term != 0) == held || (b.Term == 0 && !mine) {
				continue
			}
			err = nil
			n.Slices[mv.Slice] = SliceInfo{Slice: mv.Slice, Group: b.To, Assignment: mv.PriorAssignment + 1}
			n.sweep(off)
		}
		return folded(err == nil)
	case *record.HotKeySet:
		svc, ok := n.cfg.Service(b.Service)
		if !n.leads(off, w, b.Term) || !ok {
			return Stale
		}
		around := n.Slices[ident.Slice{Service: b.Service, Index: uint32(uint64(b.Key) / (1 << 63 / uint64(svc.Slices/2)))}]
		at := ident.Slice{Service: b.Service, Index: b.Index}
		key, exists := n.Hot[at]
		if b.Remove {
			if !exists || key != b.Key || n.Slices[at].Group != around.Group {
				return Stale
			}
			n.floor = max(n.floor, n.Slices[at].Assignment)
			delete(n.Slices, at)
			delete(n.Hot, at)
			return Folded
		}
		if b.Index < svc.Slices {
			return Invalid
		}
		for s, k := range n.Hot {
			exists = exists || (s.Service == b.Service && k == b.Key)
		}
		if exists || around.Group.IsZero() {
			return Stale
		}
		n.Hot[at] = b.Key
		n.Slices[at] = SliceInfo{Slice: at, Group: around.Group, Assignment: n.floor + 1}
		return Folded
	default:
		return Invalid
	}
}
