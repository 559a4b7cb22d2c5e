package ownership_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	. "github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Size of the cluster in the benchmarks.
const (
	benchMembers = 6200
	benchSlices  = 1 << 16
)

// benchMember returns member i of the cluster; i wraps around.
func benchMember(i int) ident.Member {
	return ident.Member{Host: ident.Host(fmt.Sprintf("host-%05d", i%benchMembers)), Incarnation: 1}
}

// newLargeState returns the state of a cluster in which every slice is assigned, the
// keyed service, and the last sequence number that the leader used.
func newLargeState(b *testing.B) (*State, config.Service, uint64) {
	svc := config.Service{Name: "catalog", Mode: config.Keyed, Slices: benchSlices, Pool: "p"}
	s := NewState(&fakeConfig{List: []config.Service{svc}})
	seq := uint64(0)
	write := func(w ident.Member, q uint64, body record.Body) {
		assert.Equal(b, s.Apply(s.NextOffset(), record.Envelope{Writer: w, Seq: q, Body: body}), Folded)
	}
	writeAsLeader := func(body record.Body) {
		seq++
		write(benchMember(0), seq, body)
	}
	writeAsLeader(&record.MemberJoined{Member: benchMember(0)})
	writeAsLeader(&record.LeaderElected{Term: 1, Leader: benchMember(0)})
	for i := 1; i < benchMembers; i++ {
		m := benchMember(i)
		write(m, 1, &record.MemberJoined{Member: m, MeshAddr: "10.20.30.40:7001", CallerAddr: "10.20.30.40:7002", AdminAddr: "10.20.30.40:7003", PublicKey: make([]byte, 32)})
		write(m, 2, &record.BackendChanged{Member: m, Pool: "p"})
	}
	for i := range benchMembers {
		var neighbors []ident.Member
		for j := range 6 {
			neighbors = append(neighbors, benchMember(i+j+1))
		}
		writeAsLeader(&record.GroupSet{Term: 1, Group: benchMember(i), Version: 1, Witnesses: neighbors[:3], Successors: neighbors[3:]})
	}
	for i := range benchSlices {
		writeAsLeader(&record.Assigned{Term: 1, To: benchMember(i), Moves: []record.Move{{Slice: ident.Slice{Service: "catalog", Index: uint32(i)}}}})
	}
	return s, svc, seq
}

// BenchmarkFoldMove folds one move by consent and requests the table after it.
func BenchmarkFoldMove(b *testing.B) {
	s, _, _ := newLargeState(b)
	seqs := map[ident.Member]uint64{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		info, _ := s.Table().Slice(ident.Slice{Service: "catalog", Index: uint32(i % benchSlices)})
		seqs[info.Group]++
		to := benchMember(i + 17*(i/benchSlices+1) + 1)
		e := record.Envelope{Writer: info.Group, Seq: 1<<20 + seqs[info.Group], Body: &record.Assigned{To: to, Moves: []record.Move{{Slice: info.Slice, PriorAssignment: info.Assignment}}}}
		if info.Group != to && s.Apply(s.NextOffset(), e) != Folded {
			b.Fatal("not folded")
		}
	}
}

// BenchmarkLocate finds the lease group of a key.
func BenchmarkLocate(b *testing.B) {
	s, svc, _ := newLargeState(b)
	t := s.Table()
	key := []byte("yard-17/bin-4711")
	b.ReportAllocs()
	for b.Loop() {
		slice := t.SliceFor(svc, HashKey(key))
		if info, ok := t.Slice(slice); !ok || info.Group.IsZero() {
			b.Fatal("not assigned")
		}
	}
}

// TestLocateDoesNotAllocate checks that finding the lease group of a key, which
// happens for every request, does not allocate.
func TestLocateDoesNotAllocate(t *testing.T) {
	s := NewState(&fakeConfig{List: []config.Service{{Name: "s", Mode: config.Keyed, Slices: 8, Pool: "p"}}})
	table := s.Table()
	svc, _ := table.Config().Service("s")
	key := []byte("key")
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		info, _ := table.Slice(table.SliceFor(svc, HashKey(key)))
		_, _ = table.Group(info.Group)
	}), 0.0)
}

func BenchmarkDigest(b *testing.B) {
	s, _, _ := newLargeState(b)
	b.ReportAllocs()
	for b.Loop() {
		s.Digest()
	}
}

func BenchmarkSnapshotAndRestore(b *testing.B) {
	s, _, _ := newLargeState(b)
	for b.Loop() {
		data, err := s.Snapshot()
		assert.NilError(b, err)
		_, err = Restore(&fakeConfig{}, data)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}

// BenchmarkStateHeap reports the heap size of a large state and its table.
func BenchmarkStateHeap(b *testing.B) {
	for range b.N {
		before := liveHeap()
		s, svc, _ := newLargeState(b)
		t := s.Table()
		t.SliceFor(svc, HashKey([]byte("k")))
		b.ReportMetric((liveHeap()-before)/(1<<20), "MiB")
		assert.Equal(b, len(t.Members()), benchMembers)
	}
}

// liveHeap returns the heap size in bytes after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
