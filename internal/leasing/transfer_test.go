package leasing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

func FuzzDecodeTransfer(f *testing.F) {
	want := transfer{Release: lease.Release{Slice: ident.Slice{Service: "s", Index: 3}, Prior: 2}, Data: []byte("x")}
	m, err := encodeHandoff(transferType, want)
	assert.NilError(f, err)
	got, err := decodeTransfer(m)
	assert.NilError(f, err)
	assert.DeepEqual(f, got, want)
	f.Add(m.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := mesh.Message{Type: transferType, Data: data}
		t1, err := decodeTransfer(m)
		if err == nil {
			_, err = encodeHandoff(transferType, t1)
			assert.NilError(t, err)
		}
		if a, err := decodeTransferAck(m); err == nil {
			_, err = encodeHandoff(transferAckType, a)
			assert.NilError(t, err)
		}
	})
}
