package idempotency_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// FuzzImport imports arbitrary bytes as the history of a slice. If the import
// succeeds, the table must stay within its limits, and the history must survive
// another export and import.
func FuzzImport(f *testing.F) {
	cfg := idempotency.DefaultConfig()
	slice := ident.Slice{Service: "s"}
	a := idempotency.Attempt{Slice: slice, Epoch: 1, ID: idempotency.ID{Key: 1, Token: "k"}}
	source := idempotency.NewTable(cfg)
	source.Begin(1, a)
	running, err := source.ExportSlice(2, slice)
	assert.NilError(f, err)
	source.End(2, slice, a.ID, idempotency.Outcome{Truth: errkind.Ran, Answer: &idempotency.Answer{Status: 200, Body: []byte("b")}})
	ended, err := source.ExportSlice(3, slice)
	assert.NilError(f, err)
	f.Add(running)
	f.Add(ended)
	f.Fuzz(func(t *testing.T, data []byte) {
		table := idempotency.NewTable(cfg)
		now := ident.Instant(1).Add(cfg.TTL)
		if err := table.ImportSlice(now, slice, data); err != nil {
			assert.Equal(t, errkind.Of(err), errkind.PeerProtocol)
			assert.Equal(t, table.Len(), 0)
			return
		}
		assert.Assert(t, table.Bytes() >= 0 && table.Bytes() <= cfg.MaxBytes)
		exported, err := table.ExportSlice(now, slice)
		assert.NilError(t, err)
		next := idempotency.NewTable(cfg)
		assert.NilError(t, next.ImportSlice(now, slice, exported))
		assert.Equal(t, next.Len(), table.Len())
		table.Lookup(now.Add(cfg.TTL), a)
		assert.Equal(t, table.Len(), 0) // all entries have ended and expire
	})
}
