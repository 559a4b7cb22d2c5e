package record_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// sampleBodies returns one body of each record type.
func sampleBodies() []record.Body {
	m := ident.Member{Host: "h1", Incarnation: 7}
	s := ident.Slice{Service: "catalog", Index: 9}
	return []record.Body{
		&record.MemberJoined{Member: m, Location: ident.Location{Region: "north", FailureDomain: "cnx-a"}, MeshAddr: "10.0.0.1:1", CallerAddr: "10.0.0.1:2", AdminAddr: "10.0.0.1:3", PublicKey: []byte{1}},
		&record.MemberLeft{Member: m, Reason: record.LeftGroupLost},
		&record.BackendChanged{Member: m, Pool: "p", Draining: true, Capabilities: record.Capabilities{Slots: 20}},
		&record.LeaderElected{Term: 3, Leader: m},
		&record.LeaderAlive{Term: 3},
		&record.GroupSet{Term: 3, Group: m, Version: 1, Witnesses: []ident.Member{m}, Successors: []ident.Member{m}},
		&record.GroupClaimed{Group: m, Claimant: m, Claim: 2},
		&record.Assigned{Term: 3, To: m, Moves: []record.Move{{Slice: s, PriorAssignment: 4}}},
		&record.HotKeySet{Term: 3, Service: "catalog", Key: 1 << 63, Index: 99},
		&record.ConfigChanged{Change: config.SignedChange{Change: config.Change{Scope: config.SharedScope, Base: 2}}},
		&record.SnapshotChunk{Term: 3, NextOffset: 5, Index: 1, Count: 2, Digest: [32]byte{31: 1}, Data: []byte{1, 2}},
	}
}

// envelopeOf returns an envelope with the body b.
func envelopeOf(b record.Body) record.Envelope {
	w := ident.Member{Host: "w", Incarnation: 1}
	return record.Envelope{Version: record.Version, Writer: w, Seq: 11, Body: b}
}

// TestEveryRecordRoundTrips encodes and decodes each record type and compares the
// encodings with a golden file, since the stream keeps them for later versions.
func TestEveryRecordRoundTrips(t *testing.T) {
	var lines strings.Builder
	for _, b := range sampleBodies() {
		data, err := record.Encode(envelopeOf(b))
		assert.NilError(t, err)
		got, err := record.Decode(data)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, envelopeOf(b)), "%T: %+v", b, got)
		fmt.Fprintf(&lines, "%T %x\n", b, data)
	}
	golden.Assert(t, lines.String(), "records.golden")
}

// TestDecodeErrorsAreTyped checks the reason of the DecodeError for each kind of
// unreadable record.
func TestDecodeErrorsAreTyped(t *testing.T) {
	cases := map[record.DecodeReason]any{
		record.Malformed:      "text",
		record.UnknownVersion: map[string]any{"v": 2, "k": 1, "b": []byte{0xa0}},
		record.UnknownKind:    map[string]any{"v": 1, "k": 200, "b": []byte{0xa0}},
	}
	for reason, v := range cases {
		data, err := codec.Marshal(v)
		assert.NilError(t, err)
		_, err = record.Decode(data)
		var decodeErr *record.DecodeError
		assert.Assert(t, errors.As(err, &decodeErr), "%v", err)
		assert.Equal(t, decodeErr.Reason, reason)
	}
}

// FuzzDecode checks that a decodable record has a stable encoding.
func FuzzDecode(f *testing.F) {
	for _, b := range sampleBodies() {
		data, err := record.Encode(envelopeOf(b))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := record.Decode(data)
		if err != nil {
			return
		}
		first, err := record.Encode(e)
		assert.NilError(t, err)
		again, err := record.Decode(first)
		assert.NilError(t, err)
		second, err := record.Encode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
	})
}
