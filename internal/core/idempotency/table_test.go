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

// naive remembers every key for ever, with the time of its end.
type naive struct {
	running map[string]bool
	ended   map[string]ident.Instant
	truth   map[string]errkind.Truth
}

// TestKeyRunsAtMostOnceWithinItsTime drives two daemons that hand a slice to and
// fro, against a naive record without bounds.
func TestKeyRunsAtMostOnceWithinItsTime(t *testing.T) {
	cfg := idempotency.Config{TTL: 100, MaxEntries: 4, MaxBytes: 12, MaxAnswer: 8}
	slice := ident.Slice{Service: "s"}
	rapid.Check(t, func(t *rapid.T) {
		owner, other := idempotency.NewTable(cfg), idempotency.NewTable(cfg)
		n := naive{running: map[string]bool{}, ended: map[string]ident.Instant{}, truth: map[string]errkind.Truth{}}
		var now ident.Instant = 1000
		epoch := ident.NewEpoch(1, 1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "key"))
			a := idempotency.Attempt{Slice: slice, Epoch: epoch, ID: idempotency.ID{Token: key}}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				a.ClaimsRepeat = rapid.Bool().Draw(t, "claims")
				n.checkBegin(t, cfg, now, key, a.ClaimsRepeat, owner.Begin(now, a))
			case 2:
				if !n.running[key] {
					break
				}
				truth := rapid.SampledFrom([]errkind.Truth{errkind.NotRun, errkind.Ran, errkind.Unknown}).Draw(t, "truth")
				body := make([]byte, rapid.IntRange(0, 10).Draw(t, "size"))
				owner.End(now, slice, a.ID, idempotency.Outcome{Truth: truth, Answer: &idempotency.Answer{Body: body}})
				n.end(now, key, truth)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")))
			case 4:
				data, err := owner.ExportSlice(now, slice)
				assert.NilError(t, err)
				assert.NilError(t, other.ImportSlice(now, slice, data))
				for k := range n.running { // the former owner would let these end first
					n.end(now, k, errkind.Unknown)
				}
				owner, other = other, idempotency.NewTable(cfg)
				epoch++
			}
			assert.Assert(t, owner.Bytes() <= cfg.MaxBytes)
		}
	})
}

func (n *naive) end(now ident.Instant, key string, truth errkind.Truth) {
	delete(n.running, key)
	if truth != errkind.NotRun {
		n.ended[key] = now
		n.truth[key] = truth
	}
}

func (n *naive) checkBegin(t *rapid.T, cfg idempotency.Config, now ident.Instant, key string, claims bool, v idempotency.Verdict) {
	end, ran := n.ended[key]
	recent := ran && now.Sub(end) < cfg.TTL
	switch v := v.(type) {
	case idempotency.FirstAttempt:
		assert.Assert(t, !n.running[key], "%s runs twice at once", key)
		assert.Assert(t, !recent, "%s runs again %d after its end", key, now.Sub(end))
		n.running[key] = true
	case idempotency.InProgress:
		assert.Assert(t, n.running[key])
	case idempotency.AnswerStored:
		assert.Assert(t, recent)
	case idempotency.AnswerLost:
		assert.Assert(t, recent || claims, "a new key is refused")
	case idempotency.TableFull:
		assert.Assert(t, !recent && !n.running[key])
	default:
		t.Fatalf("verdict %T", v)
	}
}

func TestClaimedRepeatAfterALossIsUnknown(t *testing.T) {
	cfg := idempotency.DefaultConfig()
	tab := idempotency.NewTable(cfg)
	a := idempotency.Attempt{Slice: ident.Slice{Service: "s"}, Epoch: 1, ID: idempotency.ID{Token: "k"}, ClaimsRepeat: true}
	assert.Equal(t, tab.Begin(1, a), idempotency.Verdict(idempotency.AnswerLost{Truth: errkind.Unknown}))
	whole := ident.Instant(1).Add(cfg.TTL)
	a.Epoch = 2 // taken over in between
	assert.Equal(t, tab.Begin(whole, a), idempotency.Verdict(idempotency.AnswerLost{Truth: errkind.Unknown}))
	assert.Equal(t, tab.Begin(whole.Add(cfg.TTL), a), idempotency.Verdict(idempotency.FirstAttempt{}))
	a.Fingerprint = 1
	assert.Equal(t, tab.Begin(whole.Add(cfg.TTL), a), idempotency.Verdict(idempotency.KeyReused{}))
}
