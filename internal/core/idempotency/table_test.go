package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// unboundedRecord is the reference for the test: it keeps the state of every key
// without limits in time or memory.
type unboundedRecord struct {
	running map[string]bool
	endedAt map[string]ident.Instant
	truth   map[string]errkind.Truth
}

// TestKeyRunsAtMostOnceWithinItsTime compares two daemons, which repeatedly hand a
// slice over to each other, with an unbounded record. No key may run again before
// its time to live has ended.
func TestKeyRunsAtMostOnceWithinItsTime(t *testing.T) {
	cfg := idempotency.Config{TTL: 100, MaxEntries: 4, MaxBytes: 12, MaxAnswer: 8}
	slice := ident.Slice{Service: "s"}
	rapid.Check(t, func(t *rapid.T) {
		owner, other := idempotency.NewTable(cfg), idempotency.NewTable(cfg)
		r := unboundedRecord{running: map[string]bool{}, endedAt: map[string]ident.Instant{}, truth: map[string]errkind.Truth{}}
		var now ident.Instant = 1000
		epoch := ident.NewEpoch(1, 1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "key"))
			a := idempotency.Attempt{Slice: slice, Epoch: epoch, ID: idempotency.ID{Token: key}}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				a.ClaimsRepeat = rapid.Bool().Draw(t, "claims")
				r.checkBegin(t, cfg, now, key, a.ClaimsRepeat, owner.Begin(now, a))
			case 2:
				if !r.running[key] {
					break
				}
				truth := rapid.SampledFrom([]errkind.Truth{errkind.NotRun, errkind.Ran, errkind.Unknown}).Draw(t, "truth")
				body := make([]byte, rapid.IntRange(0, 10).Draw(t, "size"))
				owner.End(now, slice, a.ID, idempotency.Outcome{Truth: truth, Answer: &idempotency.Answer{Body: body}})
				r.end(now, key, truth)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")))
			case 4:
				data, err := owner.ExportSlice(now, slice)
				assert.NilError(t, err)
				assert.NilError(t, other.ImportSlice(now, slice, data))
				for k := range r.running { // a real owner waits for the end of these runs before the handoff
					r.end(now, k, errkind.Unknown)
				}
				owner, other = other, idempotency.NewTable(cfg)
				epoch++
			}
			assert.Assert(t, owner.Bytes() <= cfg.MaxBytes)
		}
	})
}

func (r *unboundedRecord) end(now ident.Instant, key string, truth errkind.Truth) {
	delete(r.running, key)
	if truth != errkind.NotRun {
		r.endedAt[key] = now
		r.truth[key] = truth
	}
}

// checkBegin checks the verdict v of Table.Begin against the record.
func (r *unboundedRecord) checkBegin(t *rapid.T, cfg idempotency.Config, now ident.Instant, key string, claimsRepeat bool, v idempotency.Verdict) {
	end, ran := r.endedAt[key]
	recent := ran && now.Sub(end) < cfg.TTL
	switch v := v.(type) {
	case idempotency.FirstAttempt:
		assert.Assert(t, !r.running[key], "%s runs twice at once", key)
		assert.Assert(t, !recent, "%s runs again %d after its end", key, now.Sub(end))
		r.running[key] = true
	case idempotency.InProgress:
		assert.Assert(t, r.running[key])
	case idempotency.AnswerStored:
		assert.Assert(t, recent)
	case idempotency.AnswerLost:
		assert.Assert(t, recent || claimsRepeat, "a new key is refused")
	case idempotency.TableFull:
		assert.Assert(t, !recent && !r.running[key])
	default:
		t.Fatalf("verdict %T", v)
	}
}

// TestClaimedRepeatAfterALossIsUnknown checks that a declared repeat is refused as
// unknown until the history has been complete for the time to live, again after a
// takeover.
func TestClaimedRepeatAfterALossIsUnknown(t *testing.T) {
	cfg := idempotency.DefaultConfig()
	table := idempotency.NewTable(cfg)
	a := idempotency.Attempt{Slice: ident.Slice{Service: "s"}, Epoch: 1, ID: idempotency.ID{Token: "k"}, ClaimsRepeat: true}
	assert.Equal(t, table.Begin(1, a), idempotency.Verdict(idempotency.AnswerLost{Truth: errkind.Unknown}))
	completeAt := ident.Instant(1).Add(cfg.TTL)
	a.Epoch = 2 // a takeover without an import
	assert.Equal(t, table.Begin(completeAt, a), idempotency.Verdict(idempotency.AnswerLost{Truth: errkind.Unknown}))
	assert.Equal(t, table.Begin(completeAt.Add(cfg.TTL), a), idempotency.Verdict(idempotency.FirstAttempt{}))
	a.Fingerprint = 1
	assert.Equal(t, table.Begin(completeAt.Add(cfg.TTL), a), idempotency.Verdict(idempotency.KeyReused{}))
}
