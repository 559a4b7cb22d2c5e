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

// fakeConfig is a ConfigState and ConfigView that accepts every change whose base is
// the version in force.
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

// entry is one record of a history. An entry without a body is a damaged record.
type entry struct {
	off ident.Offset
	env record.Envelope
}

// view is the content of a Table in plain maps.
type view struct {
	Term             ident.Term
	Leader           ident.Member
	LastLeaderOffset ident.Offset
	Members          map[ident.Member]MemberInfo
	Groups           map[ident.Member]lease.Group
	Slices           map[ident.Slice]SliceInfo
	HotKeys          map[ident.Slice]ident.KeyHash
}

// naiveState is a simple implementation of State for comparison. It uses plain maps
// without indexes and derives what can be removed by searching everything.
type naiveState struct {
	view
	cfg              fakeConfig
	nextOffset       ident.Offset
	assignmentFloor  ident.Assignment
	lastSeqs         map[ident.Member]uint64
	forgettableSince map[ident.Member]ident.Offset // offset since which the member is absent and has no group
	formerSuccessors map[ident.Member][]ident.Member
}

// naiveForgetAfter equals the constant forgetAfter of the package.
const naiveForgetAfter = 1 << 18

// naiveFold folds a whole history and returns the outcome of each entry.
func naiveFold(history []entry) (*naiveState, []Outcome) {
	n := &naiveState{
		view:             view{Members: map[ident.Member]MemberInfo{}, Groups: map[ident.Member]lease.Group{}, Slices: map[ident.Slice]SliceInfo{}, HotKeys: map[ident.Slice]ident.KeyHash{}},
		lastSeqs:         map[ident.Member]uint64{},
		forgettableSince: map[ident.Member]ident.Offset{},
		formerSuccessors: map[ident.Member][]ident.Member{},
	}
	var outcomes []Outcome
	for _, e := range history {
		outcomes = append(outcomes, n.apply(e))
	}
	return n, outcomes
}

var errRefused = errors.New("refused")

// apply folds one entry.
func (n *naiveState) apply(e entry) Outcome {
	if e.off < n.nextOffset {
		return Repeated
	}
	n.nextOffset = e.off + 1
	for m, from := range n.forgettableSince {
		if e.off > from+naiveForgetAfter {
			delete(n.Members, m)
			delete(n.lastSeqs, m)
			delete(n.forgettableSince, m)
		}
	}
	if e.env.Body == nil {
		return Damaged
	}
	w := e.env.Writer
	last, known := n.lastSeqs[w]
	_, isJoin := e.env.Body.(*record.MemberJoined)
	change, isConfig := e.env.Body.(*record.ConfigChanged)
	switch {
	case known && e.env.Seq <= last:
		return Repeated
	case !known && !isJoin && !isConfig:
		return Foreign
	case known:
		n.lastSeqs[w] = e.env.Seq
	}
	if isConfig {
		if !n.cfg.Apply(change.Change) {
			return Rejected
		}
		n.syncServices()
		n.removeUnused(e.off)
		return Folded
	}
	o := n.foldBody(e.off, w, e.env.Seq, e.env.Body)
	n.removeUnused(e.off)
	return o
}

// removeUnused removes the unused groups and records which members may be forgotten
// and since when.
func (n *naiveState) removeUnused(off ident.Offset) {
	for id, g := range n.Groups {
		info := n.Members[id]
		if (g.Holder == id && info.Present) || n.hasSlices(id) {
			continue
		}
		delete(n.Groups, id)
		delete(n.formerSuccessors, id)
		info.LostGroup = info.Present
		n.Members[id] = info
	}
	for m, info := range n.Members {
		_, queued := n.forgettableSince[m]
		if _, grouped := n.Groups[m]; !info.Present && !grouped && !queued {
			n.forgettableSince[m] = off
		}
	}
}

// hasSlices reports whether any slice is in group id.
func (n *naiveState) hasSlices(id ident.Member) bool {
	for _, s := range n.Slices {
		if s.Group == id {
			return true
		}
	}
	return false
}

// syncServices makes the slices match the services of the configuration.
func (n *naiveState) syncServices() {
	for s, info := range n.Slices {
		if _, ok := n.cfg.Service(s.Service); !ok {
			n.assignmentFloor = max(n.assignmentFloor, info.Assignment)
		}
	}
	for s := range n.Slices {
		if _, ok := n.cfg.Service(s.Service); !ok {
			delete(n.Slices, s)
			delete(n.HotKeys, s)
		}
	}
	for _, svc := range n.cfg.List {
		if _, ok := n.Slices[ident.Slice{Service: svc.Name}]; ok || svc.Mode != config.Keyed {
			continue
		}
		for i := range svc.Slices {
			s := ident.Slice{Service: svc.Name, Index: i}
			n.Slices[s] = SliceInfo{Slice: s, Assignment: n.assignmentFloor}
		}
	}
}

// acceptLeader reports whether w is the leader of term and records its offset.
func (n *naiveState) acceptLeader(off ident.Offset, w ident.Member, term ident.Term) bool {
	ok := term == n.Term && w == n.Leader && n.Members[w].Present
	if ok {
		n.LastLeaderOffset = off
	}
	return ok
}

// allKnown reports whether all members are known, present or not.
func (n *naiveState) allKnown(members []ident.Member) bool {
	return !slices.ContainsFunc(members, func(m ident.Member) bool { return n.Members[m].Member != m })
}

// foldedOrStale returns Folded if ok, otherwise Stale.
func foldedOrStale(ok bool) Outcome {
	if ok {
		return Folded
	}
	return Stale
}

// foldBody folds the body of a record that w wrote.
func (n *naiveState) foldBody(off ident.Offset, w ident.Member, seq uint64, body record.Body) Outcome {
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
			defer func() { n.removeUnused(off) }()
			n.Members[m] = old
		}
		n.Members[w] = MemberInfo{Member: w, Location: b.Location, MeshAddr: b.MeshAddr, Present: true}
		n.lastSeqs[w] = seq
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
		if b.Reason != record.LeftVoluntarily && (!n.acceptLeader(off, w, n.Term) || grouped && g.Holder == b.Member) {
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
		return foldedOrStale(info.Present)
	case *record.LeaderElected:
		if w != b.Leader {
			return Invalid
		}
		if b.Term != n.Term+1 || !n.Members[w].Present {
			return Stale
		}
		n.Term, n.Leader, n.LastLeaderOffset = b.Term, w, off
		return Folded
	case *record.LeaderAlive:
		return foldedOrStale(n.acceptLeader(off, w, b.Term))
	case *record.SnapshotChunk:
		return foldedOrStale(n.acceptLeader(off, w, b.Term))
	case *record.GroupSet:
		if len(b.Witnesses)%2 == 0 {
			return Invalid
		}
		if !n.acceptLeader(off, w, b.Term) || !n.allKnown(b.Witnesses) || !n.allKnown(b.Successors) {
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
		n.formerSuccessors[b.Group] = append(n.formerSuccessors[b.Group], g.Successors...)
		g.Version, g.Witnesses, g.Successors = b.Version, b.Witnesses, b.Successors
		n.Groups[b.Group] = g
		return Folded
	case *record.GroupClaimed:
		if w != b.Claimant {
			return Invalid
		}
		g, ok := n.Groups[b.Group]
		if !ok || b.Claim <= g.Claim || (w != g.Holder && !slices.Contains(g.Successors, w) && !slices.Contains(n.formerSuccessors[b.Group], w)) {
			return Stale
		}
		g.Claim, g.Holder = b.Claim, w
		n.Groups[b.Group] = g
		return Folded
	case *record.Assigned:
		if b.Term != 0 && !n.acceptLeader(off, w, b.Term) {
			return Stale
		}
		var err error = errRefused
		for _, move := range b.Moves {
			info, ok := n.Slices[move.Slice]
			_, target := n.Groups[b.To]
			from, assigned := n.Groups[info.Group]
			consents := assigned && (from.Holder == w || slices.Contains(from.Successors, w))
			if !ok || !target || info.Assignment != move.PriorAssignment || info.Group == b.To || (b.Term != 0) == assigned || (b.Term == 0 && !consents) {
				continue
			}
			err = nil
			n.Slices[move.Slice] = SliceInfo{Slice: move.Slice, Group: b.To, Assignment: move.PriorAssignment + 1}
			n.removeUnused(off)
		}
		return foldedOrStale(err == nil)
	case *record.HotKeySet:
		svc, ok := n.cfg.Service(b.Service)
		if !n.acceptLeader(off, w, b.Term) || !ok {
			return Stale
		}
		hashRange := n.Slices[ident.Slice{Service: b.Service, Index: uint32(uint64(b.Key) / (1 << 63 / uint64(svc.Slices/2)))}]
		slice := ident.Slice{Service: b.Service, Index: b.Index}
		key, exists := n.HotKeys[slice]
		if b.Remove {
			if !exists || key != b.Key || n.Slices[slice].Group != hashRange.Group {
				return Stale
			}
			n.assignmentFloor = max(n.assignmentFloor, n.Slices[slice].Assignment)
			delete(n.Slices, slice)
			delete(n.HotKeys, slice)
			return Folded
		}
		if b.Index < svc.Slices {
			return Invalid
		}
		for s, k := range n.HotKeys {
			exists = exists || (s.Service == b.Service && k == b.Key)
		}
		if exists || hashRange.Group.IsZero() {
			return Stale
		}
		n.HotKeys[slice] = b.Key
		n.Slices[slice] = SliceInfo{Slice: slice, Group: hashRange.Group, Assignment: n.assignmentFloor + 1}
		return Folded
	default:
		return Invalid
	}
}
