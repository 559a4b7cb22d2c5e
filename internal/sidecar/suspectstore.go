package sidecar

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// maxSuspectWrites limits the writes that wait for the store. Further ones are dropped: the
// daemons tell one another as well.
const maxSuspectWrites = 64

// suspectStore keeps the records of convicted requests in the store, by fingerprint, for
// daemons that start when no other one knows them.
type suspectStore struct {
	store logservice.KeyedLog
	log   *zap.Logger

	writes *duty.Ring[suspectWrite]
}

// suspectWrite is a pending write; without a value it deletes the record.
type suspectWrite struct {
	fingerprint quarantine.Fingerprint
	value       []byte
}

// storedSuspect is the value of a record. Daemons share no other clock than the time of day.
type storedSuspect struct {
	Suspicion   int   `codec:"n"`
	LastCrashMS int64 `codec:"t"` // Unix time in milliseconds
}

func newSuspectStore(store logservice.KeyedLog, log *zap.Logger) *suspectStore {
	return &suspectStore{store: store, log: log, writes: duty.NewRing[suspectWrite](maxSuspectWrites, duty.RefuseNew)}
}

// save writes a record soon.
func (s *suspectStore) save(r quarantine.Record, now ident.Instant) {
	value, err := codec.Marshal(storedSuspect{Suspicion: r.Suspicion, LastCrashMS: time.Now().Add(-now.Sub(r.LastCrash)).UnixMilli()})
	if err != nil {
		s.log.Error("suspect_not_encoded", zap.Error(err))
		return
	}
	s.put(suspectWrite{r.Fingerprint, value})
}

// remove deletes a record soon.
func (s *suspectStore) remove(f quarantine.Fingerprint) { s.put(suspectWrite{fingerprint: f}) }

// removeOld deletes a record that all daemons find outdated, if the turn of this one is drawn.
func (s *suspectStore) removeOld(f quarantine.Fingerprint, daemons int) {
	if rand.N(max(daemons, 1)) == 0 {
		s.remove(f)
	}
}

func (s *suspectStore) put(w suspectWrite) {
	if !s.writes.Put(context.Background(), w) {
		s.log.Warn("suspect_not_stored", zap.Stringer("fingerprint", w.fingerprint))
	}
}

// run is the duty that passes the stored records to merge, and then writes.
func (s *suspectStore) run(ctx context.Context, clock ident.Clock, merge func([]quarantine.Record, string), daemons func() int) error {
	retry := newStoreRetrier(initialBackoff, maxConfigBackoff)
	for ctx.Err() == nil {
		n, err := s.store.Newest(ctx, logservice.SuspectStream)
		retry.waitAfterCall(ctx, err, s.log, "suspect_list")
		if err == nil {
			merge(s.decode(n.Entries, clock.Now(), daemons()), sourceTable)
			break
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-s.writes.C():
			s.write(ctx, retry, w)
		}
	}
}

// write makes one write, and repeats it until it has succeeded.
func (s *suspectStore) write(ctx context.Context, retry *storeRetrier, w suspectWrite) {
	for ctx.Err() == nil {
		err := s.store.Put(ctx, logservice.SuspectStream, w.fingerprint.String(), w.value)
		retry.waitAfterCall(ctx, err, s.log, "suspect_write")
		if err == nil {
			return
		}
	}
}

// decode returns the records of the store that count. About one of the daemons that read an
// outdated one deletes it.
func (s *suspectStore) decode(entries []logservice.KeyedEntry, now ident.Instant, daemons int) []quarantine.Record {
	var out []quarantine.Record
	for _, e := range entries {
		r, err := decodeSuspect(e, now)
		switch {
		case err != nil:
			s.log.Warn("suspect_unreadable", zap.String("key", e.Key), zap.Error(err))
		case !r.Outdated(now):
			out = append(out, r)
		default:
			s.removeOld(r.Fingerprint, daemons)
		}
	}
	return out
}

func decodeSuspect(e logservice.KeyedEntry, now ident.Instant) (r quarantine.Record, err error) {
	f, err := hex.DecodeString(e.Key)
	if err != nil || len(f) != len(r.Fingerprint) {
		return r, fmt.Errorf("sidecar: key %q is no fingerprint", e.Key)
	}
	var v storedSuspect
	if err := codec.Unmarshal(e.Value, &v); err != nil {
		return r, err
	}
	age := min(max(time.Since(time.UnixMilli(v.LastCrashMS)), 0), maxRecordAge)
	return quarantine.Record{Fingerprint: quarantine.Fingerprint(f), Suspicion: v.Suspicion, LastCrash: now.Add(-age)}, nil
}
