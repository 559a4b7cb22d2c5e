package idempotency_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// FuzzImport reads arbitrary bytes as the record of a slice. What is accepted
// keeps the bounds and can be handed on.
func FuzzImport(f *testing.F) {
	cfg := idempotency.DefaultConfig()
	slice := ident.Slice{Service: "s"}
	a := idempotency.Attempt{Slice: slice, Epoch: 1, ID: idempotency.ID{Key: 1, Token: "k"}}
	t := idempotency.NewTable(cfg)
	t.Begin(1, a)
	running, err := t.ExportSlice(2, slice)
	assert.NilError(f, err)
	t.End(2, slice, a.ID, idempotency.Outcome{Truth: errkind.Ran, Answer: &idempotency.Answer{Status: 200, Body: []byte("b")}})
	ended, err := t.ExportSlice(3, slice)
	assert.NilError(f, err)
	f.Add(running)
	f.Add(ended)
	f.Fuzz(func(t *testing.T, data []byte) {
		tab := idempotency.NewTable(cfg)
		now := ident.Instant(1).Add(cfg.TTL)
		if err := tab.ImportSlice(now, slice, data); err != nil {
			assert.Equal(t, errkind.Of(err), errkind.PeerProtocol)
			assert.Equal(t, tab.Len(), 0)
			return
		}
		assert.Assert(t, tab.Bytes() >= 0 && tab.Bytes() <= cfg.MaxBytes)
		out, err := tab.ExportSlice(now, slice)
		assert.NilError(t, err)
		again := idempotency.NewTable(cfg)
		assert.NilError(t, again.ImportSlice(now, slice, out))
		assert.Equal(t, again.Len(), tab.Len())
		tab.Lookup(now.Add(cfg.TTL), a)
		assert.Equal(t, tab.Len(), 0) // all entries have ended and expire
	})
}
