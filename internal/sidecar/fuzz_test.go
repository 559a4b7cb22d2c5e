package sidecar

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/evacuation"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// A control message of a peer is applied or refused, whatever it holds, and what is then
// known stays valid.
func FuzzControlMessages(f *testing.F) {
	table := tableOwnedBy("a", 1)
	for kind, m := range map[string]any{
		typeTableUpdate:    tableUpdate{Service: "s", EndOffset: 3, Table: table},
		typeReadForward:    readForward{From: 1, Next: 2, Tables: []tableChange{{Service: "s", EndOffset: 2, Diff: keyrange.Table{}.Diff(table)}}},
		typeReadAnswer:     readAnswer{Seq: 1, Next: 1, AgeMS: 5},
		typeMemberStates:   memberStates{States: []memberState{{Member: ident.Member{Host: "a", Incarnation: 1}}}},
		typeRelayedEntries: relayedEntries{Entries: []roster.Entry{{Member: ident.Member{Host: "a", Incarnation: 1}}}},
		typeConsent:        consent{Service: "s"},
		typeSuspects:       suspectReport{Records: []suspectRecord{{Suspicion: 2, AgeMS: 5}}, Cleared: []quarantine.Fingerprint{{1}}},
		typeEvacuation:     evacuationNotice{State: evacuation.State{At: 1, Domains: domains{"a"}}, AgesMS: []int64{5}},
		typeSupport:        support{Service: "s", Seq: 1},
		typeDeparture:      departureNotice{Instance: roster.Instance{ID: "i", StartedMS: 1}, AgeMS: 5},
	} {
		data, err := codec.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(kind, data)
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		switch kind {
		case typeHello, typeReadRequest, typePeerHeartbeat, typeConfig, typeVersionHint:
			return // these are answered over the mesh
		}
		clock := &manualClock{now: ident.Instant(time.Hour)}
		self := ident.Member{Host: "h", Incarnation: 1}
		o := &ownership{
			follower: sharedread.NewFollower(sharedread.DefaultConfig(), "h"), followers: map[ident.Host]ident.Instant{}, readTable: map[ident.Service]versionedTable{},
			clock: clock, log: zap.NewNop(), synced: true, nextOffset: 1, tables: map[ident.Service]versionedTable{},
			agents: map[ident.Service]*keyrange.Agent{"s": keyrange.NewAgent(keyrange.Config{}, self, clock.now)},
		}
		server := newTestServer(clock)
		server.HandleHeartbeat(newHeartbeat(1, 1))
		p := &peers{self: self, clock: clock, log: zap.NewNop(), server: server, ownership: o, suspects: newTestSuspects("h", clock), roster: roster.New("h"), relay: relayState{relayed: map[ident.Host]roster.Entry{}, told: map[ident.Host]ident.Member{}},
			evacuations: newEvacuations("a", time.Second, nil, clock, zap.NewNop())}
		p.configs = &configFollower{evacuations: p.evacuations}
		p.HandleControl(ident.Member{Host: "a", Incarnation: 1}, mesh.Message{Type: kind, Data: data})
		for s, table := range o.tables {
			if !table.Valid() {
				t.Fatalf("table of %s: %+v", s, table.Rows)
			}
		}
		checkDepartures(t, server.departures, clock.now)
	})
}

// checkDepartures fails the test if a departure that came from elsewhere is in the future, or
// older than any that counts.
func checkDepartures(t *testing.T, ds roster.Departures, now ident.Instant) {
	for _, d := range ds {
		if d.Since > now || now.Sub(d.Since) > maxDepartureAge {
			t.Fatalf("departure since %v, now is %v", d.Since, now)
		}
	}
}

// The stored record of a departure is decoded or skipped, whatever it holds.
func FuzzStoredDepartures(f *testing.F) {
	known := storedDeparture{Instance: roster.Instance{ID: "i", StartedMS: 1}, SinceMS: 1_700_000_000_000}
	for _, d := range []storedDepartures{
		{known, nil},
		{storedDeparture{Instance: roster.Instance{ID: "i"}, AnyStart: true, SinceMS: -1 << 63}, []storedDeparture{known}},
		{storedDeparture{SinceMS: 1<<63 - 1}, nil},
	} {
		value, err := codec.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add("h"+departureSuffix, value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		clock := &manualClock{now: ident.Instant(100 * time.Hour)}
		server := newTestServer(clock)
		p := &peers{self: ident.Member{Host: "h", Incarnation: 1}, clock: clock, log: zap.NewNop(), server: server, roster: roster.New("h"), foundAt: map[ident.Host]ident.Instant{}}
		p.applyHostList([]logservice.KeyedEntry{{Key: key, Value: value}})
		checkDepartures(t, server.departures, clock.now)
		server.HandleHeartbeat(newHeartbeat(1, 1))
	})
}

// A stored record of a suspected request is decoded or skipped, whatever it holds.
func FuzzStoredSuspects(f *testing.F) {
	good, err := codec.Marshal(storedSuspect{Suspicion: 4, LastCrashMS: 1_700_000_000_000})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("00112233445566778899aabbccddeeff", good)
	f.Add("0011", good)
	now := ident.Instant(100 * time.Hour)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r, err := decodeSuspect(logservice.KeyedEntry{Key: key, Value: value}, now)
		if err == nil && (r.LastCrash > now || now.Sub(r.LastCrash) > maxRecordAge) {
			t.Fatalf("last crash at %v", r.LastCrash)
		}
		if l := quarantine.NewLedger("h"); err == nil && l.Merge(r, now) {
			l.Judge(r.Fingerprint, now)
			l.DeleteOld(now)
		}
	})
}
