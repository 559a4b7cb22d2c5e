package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const (
	planEvery     = 100 * time.Millisecond // time between two looks at what to change
	coalesceReads = 30 * time.Millisecond  // records that come close together are read at once
	firstBackoff  = 100 * time.Millisecond // after a failed call to the store
	maxBackoff    = 800 * time.Millisecond // within the two seconds in which lapsed servers must be back
	writeTimeout  = 2 * time.Second
)

// owners follows who holds the shard keys, and drives an agent for each sharded
// service.
type owners struct {
	cfg        keyrange.Config
	self       ident.Member
	clock      ident.Clock // counts the time in which the machine was suspended
	store      logservice.KeyedLog
	candidates func(ident.Service) []keyrange.Candidate
	tell       func([]ident.Host, given) // tells hosts of a table just written
	pollTime   time.Duration             // wait of a read if no server here holds keys
	leasePoll  time.Duration             // wait of a read that renews a lease
	log        *zap.Logger
	metrics    *metrics
	freed      chan struct{} // a server released keys: plan at once; holds one

	mu     sync.Mutex // guards the fields below
	agents map[ident.Service]*keyrange.Agent
	tables map[ident.Service]version  // newest known, from the store or a peer
	next   ident.Offset               // end of the stream as last read
	synced bool                       // the stream was read once
	local  ident.Service              // of the server beside the daemon
	cancel context.CancelFunc         // ends the read that waits for a change
	seq    uint32                     // of the last pulse
	asked  [askedPulses]ident.Instant // when the last pulses were sent, by sequence
}

// version is a table with the end of the stream after it.
type version struct {
	keyrange.Table
	end ident.Offset
}

// configure makes an agent for each sharded service.
func (o *owners) configure(sharded []ident.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range sharded {
		if o.agents[s] == nil {
			o.agents[s] = keyrange.NewAgent(o.cfg, o.self, o.clock.Now())
			o.synced = false // the new agent needs the tables
		}
	}
}

func (o *owners) sharded(s ident.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents[s] != nil
}

// beat takes in a heartbeat of the server beside the daemon. Keys that it held
// under another service are given up.
func (o *owners) beat(r Heartbeat) *keyrange.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local = r.Service
	now := o.clock.Now()
	for s, a := range o.agents {
		if _, had := a.Instance(); had && s != r.Service {
			a.ServerLost()
		}
	}
	a := o.agents[r.Service]
	if a == nil {
		return nil
	}
	g := a.HandleHeartbeat(keyrange.Heartbeat{Instance: r.Instance, Sequence: r.Sequence, Draining: r.Draining, Held: r.Held, Released: r.Released}, now)
	o.metrics.granted(g != nil)
	if g == nil {
		o.log.Info("grant_withheld", zap.String("server", r.Instance.ID), zap.Int64("sequence", r.Sequence))
	}
	if len(r.Released) > 0 {
		select {
		case o.freed <- struct{}{}:
		default: // a plan is due already
		}
	}
	return g
}

func (o *owners) serverLost(s ident.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.ServerLost()
	}
}

func (o *owners) serves(s ident.Service, k keyrange.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.MayHold(k, o.clock.Now())
}

func (o *owners) served(s ident.Service, k keyrange.Key, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.RecordServiceTime(k, d)
	}
}

// owner returns the row of a key by the newest table known.
func (o *owners) owner(s ident.Service, k keyrange.Key) (keyrange.Row, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[s].Find(k)
}

// keys returns how many keys a host owns of the service that runs there.
func (o *owners) keys(s ident.Service, h ident.Host) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[s].KeyCount(h)
}

// wait is how long a read may wait: short where it renews a lease.
func (o *owners) wait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.agents[o.local] != nil {
		return o.leasePoll
	}
	return o.pollTime
}

// follow is the duty that reads the tables.
func (o *owners) follow(ctx context.Context) error {
	retry := newBackoff(firstBackoff, maxBackoff)
	for ctx.Err() == nil {
		err := o.read(ctx)
		retry.wait(ctx, err, o.log, "ownership_read")
	}
	return nil
}

// read reads everything, or what has changed.
func (o *owners) read(ctx context.Context) error {
	o.mu.Lock()
	synced, from, none := o.synced, o.next, len(o.agents) == 0
	o.mu.Unlock()
	if none {
		sleep(ctx, planEvery)
		return nil
	}
	if !synced {
		return o.readAll(ctx)
	}
	wait := o.wait()
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.mu.Lock()
	o.cancel = cancel
	o.mu.Unlock()
	sent := o.clock.Now()
	ch, err := o.store.Poll(pollCtx, logservice.OwnershipStream, from, wait)
	if pollCtx.Err() != nil && ctx.Err() == nil {
		return nil // a write found the stream further on: read again at once
	}
	if errors.Is(err, logservice.ErrTruncated) {
		return o.readAll(ctx)
	}
	if err != nil {
		return err
	}
	answered := o.clock.Now()
	if len(ch.Entries) == 0 && answered.Sub(sent) >= wait {
		// The store answers as soon as a record is there: none was when the wait
		// was over.
		sent = sent.Add(wait)
	}
	o.apply(ch.Entries, ch.Next, sent, answered)
	if len(ch.Entries) > 0 {
		sleep(ctx, coalesceReads)
	}
	return nil
}

// readAll reads the newest table of every service.
func (o *owners) readAll(ctx context.Context) error {
	sent := o.clock.Now()
	n, err := o.store.Newest(ctx, logservice.OwnershipStream)
	if err != nil {
		return err
	}
	o.apply(n.Entries, n.Next, sent, o.clock.Now())
	o.mu.Lock()
	o.synced = true
	o.mu.Unlock()
	return nil
}

// apply takes in the records of a read whose end is next.
func (o *owners) apply(entries []logservice.KeyedEntry, next ident.Offset, sent, answered ident.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range entries {
		t, err := decodeTable(e.Value)
		if err != nil {
			o.log.Warn("ownership_record_unreadable", zap.String("service", e.Key), zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
			continue
		}
		if e.Offset < o.next && o.synced || !o.keep(ident.Service(e.Key), t, e.Offset+1) {
			continue
		}
		o.log.Info("ownership_table", zap.String("service", e.Key), zap.Uint64("offset", uint64(e.Offset)),
			zap.Int("rows", len(t.Rows)), zap.Int("suspects", len(t.Suspects)))
	}
	if next < o.next {
		return
	}
	o.next = next
	for s, a := range o.agents {
		a.ApplyRead(o.tables[s].Table, next, sent, answered)
	}
}

// keep replaces the table of a service unless a newer one is known, as after a
// peer has told of one. The caller holds o.mu.
func (o *owners) keep(s ident.Service, t keyrange.Table, end ident.Offset) bool {
	if end < o.tables[s].end {
		return false
	}
	o.tables[s] = version{t, end}
	return true
}

// told takes in a table that a peer has written.
func (o *owners) told(from ident.Host, m given) {
	if !m.Table.Valid() {
		o.log.Warn("ownership_told_invalid", zap.String("service", string(m.Service)), zap.String("peer", string(from)))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[m.Service]
	if a == nil || !o.synced || m.End <= a.NextOffset() || !o.keep(m.Service, m.Table, m.End) {
		return
	}
	a.ApplyPublished(m.Table, m.End, o.clock.Now())
	o.log.Info("ownership_told", zap.String("service", string(m.Service)), zap.String("peer", string(from)),
		zap.Uint64("offset", uint64(m.End-1)), zap.Int("rows", len(m.Table.Rows)))
}

func decodeTable(data []byte) (keyrange.Table, error) {
	var t keyrange.Table
	if err := codec.Unmarshal(data, &t); err != nil {
		return t, err
	}
	if !t.Valid() {
		return t, fmt.Errorf("sidecar: rows overlap")
	}
	return t, nil
}

// plan is the duty that changes the tables.
func (o *owners) plan(ctx context.Context) error {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-o.freed:
		}
		o.step(ctx)
	}
}

// step lets every agent decide once.
func (o *owners) step(ctx context.Context) {
	for _, s := range o.services() {
		cs := o.candidates(s)
		o.mu.Lock()
		a := o.agents[s]
		w := a.Tick(o.clock.Now(), cs)
		o.mu.Unlock()
		if w != nil {
			o.write(ctx, s, a, *w)
		}
	}
}

func (o *owners) services() []ident.Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]ident.Service, 0, len(o.agents))
	for s := range o.agents {
		out = append(out, s)
	}
	return out
}

// write appends a table and tells the agent what became of it.
func (o *owners) write(ctx context.Context, s ident.Service, a *keyrange.Agent, w keyrange.Write) {
	data, err := codec.Marshal(w.Table)
	outcome, sent := keyrange.Refused, o.clock.Now()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		err = o.store.PutAt(ctx, logservice.OwnershipStream, w.Offset, string(s), data)
		cancel()
		outcome = outcomeOf(err)
	}
	answered := o.clock.Now()
	o.mu.Lock()
	a.ApplyOutcome(w, outcome, sent, answered)
	if outcome != keyrange.Written && o.cancel != nil {
		o.cancel()
	}
	if outcome == keyrange.Written {
		o.keep(s, w.Table, w.Offset+1)
	}
	o.mu.Unlock()
	if outcome == keyrange.Written {
		o.tell(w.Table.Receivers(w.Offset), given{Service: s, End: w.Offset + 1, Table: w.Table})
	}
	o.metrics.wrote(w.Reason, outcome == keyrange.Written)
	o.log.Info("ownership_write", zap.String("service", string(s)), zap.String("reason", w.Reason),
		zap.Uint64("offset", uint64(w.Offset)), zap.Int("rows", len(w.Table.Rows)), zap.Int("bytes", len(data)),
		zap.Bool("written", outcome == keyrange.Written), zap.Error(err))
}

func outcomeOf(err error) keyrange.Outcome {
	switch {
	case err == nil:
		return keyrange.Written
	case errors.Is(err, logservice.ErrOutcomeUnknown):
		return keyrange.Unclear
	default:
		return keyrange.Refused
	}
}
