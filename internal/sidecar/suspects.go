package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// isolationWait is the share of its remaining time for which a suspected request waits until
// no other one runs here.
const isolationWait = 0.5

// suspects keeps what this daemon knows of requests that were in progress when servers
// ended, decides which requests may run, and lets suspected ones run one at a time on the
// server here: if it ends again, only one of them can be the cause.
type suspects struct {
	clock   ident.Clock
	log     *zap.Logger
	metrics *metrics

	changed chan struct{} // signals that other daemons must learn of pending; capacity 1
	store   *suspectStore // keeps the convictions beyond the processes that know of them

	mu       sync.Mutex // guards the fields below
	ledger   *quarantine.Ledger
	pending  suspectReport
	isolated bool          // a suspected request runs here
	wake     chan struct{} // closed, and replaced, when a waiting request may be let through
}

func newSuspects(self ident.Host, store *suspectStore, m *metrics, clock ident.Clock, log *zap.Logger) *suspects {
	return &suspects{
		clock: clock, log: log, metrics: m, store: store,
		changed: make(chan struct{}, 1), wake: make(chan struct{}), ledger: quarantine.NewLedger(self),
	}
}

// judge returns how a request may run. It calls fingerprint only if there is any suspicion.
func (s *suspects) judge(fingerprint func() quarantine.Fingerprint) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judgeLocked(fingerprint)
}

// judgeLocked is judge for a caller that holds s.mu.
func (s *suspects) judgeLocked(fingerprint func() quarantine.Fingerprint) quarantine.Verdict {
	if s.ledger.Len() == 0 {
		return quarantine.Verdict{}
	}
	return s.ledger.Judge(fingerprint(), s.clock.Now())
}

// refusalOf returns the refusal of a request with a verdict, nil if it may run.
func refusalOf(v quarantine.Verdict) *errkind.Error {
	if v.Refused <= 0 {
		return nil
	}
	e := errkind.New(errkind.Quarantined, "backend servers ended while they ran it (suspicion %d)", v.Suspicion)
	e.RetryAfter = v.Refused
	return e
}

// isolate waits until a request may run here next to requests that are under no suspicion. It
// returns at once for one that is under none itself. The caller calls end after the run.
func (s *suspects) isolate(ctx context.Context, r *hop.Request, fingerprint func() quarantine.Fingerprint) (isolated bool, end func(), e *errkind.Error) {
	var timeout <-chan time.Time
	for {
		s.mu.Lock()
		v, wake := s.judgeLocked(fingerprint), s.wake
		taken := v.Suspicion > 0 && v.Refused == 0 && !s.isolated
		s.isolated = s.isolated || taken
		s.mu.Unlock()
		switch {
		case v.Refused > 0:
			return false, nil, refusalOf(v)
		case v.Suspicion == 0:
			return false, func() {}, nil
		case taken:
			return true, s.endIsolation, nil
		case timeout == nil:
			left := float64(r.TimeLeft(s.clock.Now()))
			timer := time.NewTimer(time.Duration(left * isolationWait))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-wake:
		case <-timeout:
			return false, nil, errkind.New(errkind.Overloaded, "another suspected request runs")
		case <-ctx.Done():
			return false, nil, admissionError(ctx, ctx.Err())
		}
	}
}

func (s *suspects) endIsolation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated = false
	s.wakeWaiting()
}

// wakeWaiting makes the waiting requests look at the ledger again. The caller holds s.mu.
func (s *suspects) wakeWaiting() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// signalChange makes the other daemons learn of s.pending soon. The caller holds s.mu.
func (s *suspects) signalChange() {
	s.wakeWaiting()
	select {
	case s.changed <- struct{}{}:
	default: // a signal is already pending
	}
}

// recordCrash records the requests that were in progress when the server here ended.
func (s *suspects) recordCrash(runs []quarantine.Suspect) {
	now := s.clock.Now()
	s.mu.Lock()
	records := s.ledger.RecordCrash(runs, now)
	s.pending.add(records, now)
	s.signalChange()
	s.mu.Unlock()
	for _, r := range records {
		s.logRecord(r, sourceCrash)
		if r.Convicted() {
			s.store.save(r, now)
		}
	}
}

// Where a record comes from, for the log.
const (
	sourceCrash = "crash" // of the server here
	sourceTable = "store"
)

func (s *suspects) logRecord(r quarantine.Record, source string) {
	if !r.Convicted() {
		return
	}
	s.metrics.countQuarantine(source)
	s.log.Warn("request_quarantined", zap.Stringer("fingerprint", r.Fingerprint), zap.Int("suspicion", r.Suspicion), zap.String("source", source))
}

// merge adds records of another daemon or of the store.
func (s *suspects) merge(records []quarantine.Record, source string) {
	now := s.clock.Now()
	var news []quarantine.Record
	s.mu.Lock()
	for _, r := range records {
		if s.ledger.Merge(r, now) {
			news = append(news, r)
		}
	}
	if len(news) > 0 {
		s.wakeWaiting()
	}
	s.mu.Unlock()
	for _, r := range news {
		s.logRecord(r, source)
	}
}

// learn merges the suspicion of another daemon against a request.
func (s *suspects) learn(fingerprint func() quarantine.Fingerprint, suspicion int) {
	if suspicion > 0 {
		s.merge([]quarantine.Record{{Fingerprint: fingerprint(), Suspicion: suspicion, LastCrash: s.clock.Now()}}, sourcePeer)
	}
}

// clear forgets a request that the server here has answered, and makes the other daemons
// forget it.
func (s *suspects) clear(fingerprint func() quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Len() == 0 {
		return
	}
	r, known := s.ledger.Clear(fingerprint(), s.clock.Now())
	if !known {
		return
	}
	s.pending.clear(r.Fingerprint)
	s.signalChange()
	if r.Convicted() {
		s.log.Info("request_cleared", zap.Stringer("fingerprint", r.Fingerprint), zap.Int("suspicion", r.Suspicion), zap.String("source", sourceAnswer))
		s.store.remove(r.Fingerprint)
	}
}

// deleteOld deletes the records that are too old to count, so that requests need no
// fingerprints any more. Of all daemons, about one deletes an old conviction from the store.
func (s *suspects) deleteOld(daemons int) {
	s.mu.Lock()
	deleted := s.ledger.DeleteOld(s.clock.Now())
	s.mu.Unlock()
	for _, r := range deleted {
		if r.Convicted() {
			s.store.removeOld(r.Fingerprint, daemons)
		}
	}
}

// handleReport applies the report of another daemon. A request that is both cleared and
// recorded was suspected again since.
func (s *suspects) handleReport(m suspectReport) {
	now := s.clock.Now()
	s.forget(m.Cleared, now)
	s.merge(m.decode(now), sourcePeer)
}

// forget forgets requests that another daemon has cleared.
func (s *suspects) forget(cleared []quarantine.Fingerprint, now ident.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cleared {
		r, known := s.ledger.Clear(f, now)
		if !known {
			continue
		}
		s.wakeWaiting()
		if r.Convicted() {
			s.log.Info("request_cleared", zap.Stringer("fingerprint", f), zap.Int("suspicion", r.Suspicion), zap.String("source", sourcePeer))
		}
	}
}

// takePending returns what the other daemons have not been told yet.
func (s *suspects) takePending() suspectReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.pending
	s.pending = suspectReport{}
	return m
}

// report returns all that is known, for a daemon that may have missed earlier reports.
func (s *suspects) report() suspectReport {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var m suspectReport
	m.add(s.ledger.Records(now), now)
	return m
}
