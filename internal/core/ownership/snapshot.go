package ownership

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
)

// snapshotVersion is the version of the snapshot encoding.
const snapshotVersion = 1

// ErrSnapshot is wrapped by all errors of Restore.
var ErrSnapshot = errors.New("ownership: snapshot cannot be restored")

// snapshot is the encoded form of a State. All lists are sorted, so that equal
// states have equal encodings.
type snapshot struct {
	Version          uint8             `codec:"v"`
	NextOffset       ident.Offset      `codec:"n"`
	Term             ident.Term        `codec:"t"`
	Leader           ident.Member      `codec:"l"`
	LastLeaderOffset ident.Offset      `codec:"ls"`
	AssignmentFloor  ident.Assignment  `codec:"f"`
	Members          []memberSnapshot  `codec:"m"`
	Groups           []lease.Group     `codec:"g"`
	Services         []serviceSnapshot `codec:"s"`
	Config           []byte            `codec:"c"`
}

// memberSnapshot is the encoded form of a MemberInfo and its writer.
type memberSnapshot struct {
	Info             MemberInfo     `codec:"i"`
	LastSeq          uint64         `codec:"q"`
	FormerSuccessors []ident.Member `codec:"f"`
	Forgettable      bool           `codec:"g"`
	ForgettableSince ident.Offset   `codec:"o"`
}

// serviceSnapshot is the encoded form of a serviceTable. Groups and Assignments
// have one element for each slice: first the hash ranges, then the hot keys. An
// element of Groups is zero for an unassigned slice, otherwise the position of the
// group in snapshot.Groups plus one.
type serviceSnapshot struct {
	Name          ident.Service `codec:"n"`
	RangeCount    uint32        `codec:"c"`
	HotKeyIndexes []uint32      `codec:"x"` // slice indexes of the hot keys
	HotKeys       []uint64      `codec:"k"`
	Groups        []uint32      `codec:"g"`
	Assignments   []uint32      `codec:"a"`
}

// Snapshot encodes the state. Restore decodes it.
func (s *State) Snapshot() ([]byte, error) {
	cfg, err := s.cfg.Export()
	if err != nil {
		return nil, fmt.Errorf("ownership: export configuration: %w", err)
	}
	return codec.Marshal(s.export(cfg))
}

// Digest returns the SHA-256 hash of the canonical encoding of everything that
// influences how later records fold.
func (s *State) Digest() [sha256.Size]byte {
	view := s.shared.config.Digest()
	data, err := codec.Marshal(s.export(view[:]))
	if err != nil {
		panic(err) // the codec can encode every value of type snapshot
	}
	return sha256.Sum256(data)
}

// export returns the encoded form of the state; cfg becomes the Config field.
func (s *State) export(cfg []byte) *snapshot {
	out := &snapshot{
		Version:          snapshotVersion,
		NextOffset:       s.nextOffset,
		Term:             s.term,
		Leader:           s.leader,
		LastLeaderOffset: s.lastLeaderOffset,
		AssignmentFloor:  s.assignmentFloor,
		Members:          s.exportMembers(),
		Config:           cfg,
	}
	s.shared.groups.each(func(_ ident.Member, g *lease.Group) { out.Groups = append(out.Groups, *g) })
	slices.SortFunc(out.Groups, func(a, b lease.Group) int { return CompareMembers(a.ID, b.ID) })
	groupNumbers := make(map[ident.Member]uint32, len(out.Groups))
	for i, g := range out.Groups {
		groupNumbers[g.ID] = uint32(i + 1)
	}
	for _, name := range s.shared.serviceNames() {
		out.Services = append(out.Services, exportService(name, s.shared.services[name], groupNumbers))
	}
	return out
}

func (s *State) exportMembers() []memberSnapshot {
	out := make([]memberSnapshot, 0, s.shared.members.size)
	s.shared.members.each(func(m ident.Member, info *MemberInfo) {
		w := s.writers[m]
		out = append(out, memberSnapshot{Info: *info, LastSeq: w.lastSeq, FormerSuccessors: w.formerSuccessors, Forgettable: w.forgettable, ForgettableSince: w.forgettableSince})
	})
	slices.SortFunc(out, func(a, b memberSnapshot) int { return CompareMembers(a.Info.Member, b.Info.Member) })
	return out
}

// exportService returns the encoded form of a service table. groupNumbers maps
// each group to its position in snapshot.Groups plus one.
func exportService(name ident.Service, t *serviceTable, groupNumbers map[ident.Member]uint32) serviceSnapshot {
	size := int(t.rangeCount) + len(t.hotKeys)
	out := serviceSnapshot{
		Name:        name,
		RangeCount:  t.rangeCount,
		Groups:      make([]uint32, 0, size),
		Assignments: make([]uint32, 0, size),
	}
	t.each(func(_ uint32, e sliceEntry) {
		out.Groups = append(out.Groups, groupNumbers[e.group])
		out.Assignments = append(out.Assignments, uint32(e.assignment))
	})
	for _, i := range t.hotKeyIndexes() {
		out.HotKeyIndexes = append(out.HotKeyIndexes, i)
		out.HotKeys = append(out.HotKeys, uint64(t.hotKeys[i].key))
	}
	return out
}
