package lease

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Group is one version of a lease group as recorded in the log.
type Group struct {
	ID         ident.Member // the first holder
	Version    uint32
	Witnesses  []ident.Member // an odd number, in different failure domains
	Successors []ident.Member // in order of precedence
	Claim      ident.Claim    // greatest recorded claim
	Holder     ident.Member   // holder of the greatest recorded claim
	Earlier    []WitnessSet   // sets of earlier versions, oldest first; may be incomplete
}

// WitnessSet lists the witnesses of one version of a group.
type WitnessSet struct {
	Version   uint32         `codec:"n"`
	Witnesses []ident.Member `codec:"w"`
}

// Release identifies a slice that its holder gave up, by the assignment under
// which the holder had it.
type Release struct {
	Slice ident.Slice      `codec:"s"`
	Prior ident.Assignment `codec:"p"`
}

// firstVersion is the version of a newly created group.
const firstVersion = 1

// majority returns the smallest number of witnesses that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// group is the state that a node keeps for one lease group, including its own
// roles in the group.
type group struct {
	recorded Group        // latest version read from the log
	sets     []WitnessSet // ascending by version; none is older than active
	active   uint32       // greatest version known to be active; zero if unknown
	holder   *holder      // nil if this member is not the holder
	claimant *claimant    // nil if no claim is in progress
	witness  *witness     // nil if this member was never a witness of the group
	resigned bool         // this member must not claim the group again
}

func newGroup(recorded Group) *group {
	g := &group{recorded: recorded}
	for _, set := range recorded.Earlier {
		g.addSet(set)
	}
	g.addSet(WitnessSet{Version: recorded.Version, Witnesses: recorded.Witnesses})
	if g.sets[0].Version == firstVersion {
		g.active = firstVersion
	}
	return g
}

// update replaces the recorded group unless recorded is older than it.
func (g *group) update(recorded Group) {
	if recorded.Version < g.recorded.Version || recorded.Claim < g.recorded.Claim {
		return
	}
	g.recorded = recorded
	g.addSet(WitnessSet{Version: recorded.Version, Witnesses: recorded.Witnesses})
}

// addSet inserts a witness set unless it is older than the active version.
func (g *group) addSet(set WitnessSet) {
	if set.Version < g.active {
		return
	}
	i, found := slices.BinarySearchFunc(g.sets, set.Version, compareVersion)
	if !found {
		g.sets = slices.Insert(g.sets, i, set)
	}
}

func compareVersion(s WitnessSet, version uint32) int { return int(s.Version) - int(version) }

// set returns the witness set of a version.
func (g *group) set(version uint32) (WitnessSet, bool) {
	i, found := slices.BinarySearchFunc(g.sets, version, compareVersion)
	if !found {
		return WitnessSet{}, false
	}
	return g.sets[i], true
}

// activate records that a version is active, which supersedes all earlier
// versions permanently.
func (g *group) activate(version uint32) {
	if version <= g.active {
		return
	}
	g.active = version
	g.sets = slices.DeleteFunc(g.sets, func(s WitnessSet) bool { return s.Version < version })
}

// candidates lists the members that may claim the group: the successors in
// order of precedence, then the last recorded holder and the first holder.
func (g *group) candidates() []ident.Member {
	out := slices.Clone(g.recorded.Successors)
	for _, m := range []ident.Member{g.recorded.Holder, g.recorded.ID} {
		if !m.IsZero() && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
