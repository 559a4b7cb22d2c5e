package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// pollWait returns the maximum wait of a poll. It is short if the service here is sharded,
// because its polls renew the lease, and shorter if others rely on them.
func (o *ownership) pollWait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.currentFollowers()) > 0 {
		return min(sharedPoll, o.leasePoll)
	}
	if o.agents[o.localService] != nil {
		return o.leasePoll
	}
	return o.pollTime
}

// follow is the duty that reads the ownership tables from the store.
func (o *ownership) follow(ctx context.Context) error {
	retry := newStoreRetrier(initialBackoff, maxBackoff)
	for ctx.Err() == nil {
		err := o.readTables(ctx)
		retry.waitAfterCall(ctx, err, o.log, "ownership_read")
	}
	return nil
}

// readTables reads all tables the first time, and polls for changes after that. Without
// agents it only waits.
func (o *ownership) readTables(ctx context.Context) error {
	o.mu.Lock()
	synced, from, none := o.synced, o.nextOffset, len(o.agents) == 0
	o.mu.Unlock()
	if none {
		sleep(ctx, planInterval)
		return nil
	}
	if !synced {
		return o.readAllTables(ctx)
	}
	wait := o.pollWait()
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.mu.Lock()
	o.cancelPoll = cancel
	o.mu.Unlock()
	if o.follows() {
		sleep(pollCtx, followCheck)
		return nil
	}
	sent := o.clock.Now()
	ch, err := o.store.Poll(pollCtx, logservice.OwnershipStream, from, wait)
	if pollCtx.Err() != nil && ctx.Err() == nil {
		return nil // a write failed because the stream had advanced: poll again at once
	}
	if errors.Is(err, logservice.ErrTruncated) {
		return o.readAllTables(ctx)
	}
	if err != nil {
		return err
	}
	answered := o.clock.Now()
	if len(ch.Entries) == 0 && answered.Sub(sent) >= wait {
		// The store answers as soon as there is an entry. So there was none at the end
		// of the wait, and the read is as recent as that.
		sent = sent.Add(wait)
	}
	o.applyEntries(ch.Entries, ch.Next, sent, answered)
	if len(ch.Entries) > 0 {
		sleep(ctx, coalesceDelay)
	}
	return nil
}

// restartPoll ends the pending poll, if any, so that it is made again.
func (o *ownership) restartPoll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancelPoll != nil {
		o.cancelPoll()
	}
}

// readAllTables reads the newest table of every service.
func (o *ownership) readAllTables(ctx context.Context) error {
	sent := o.clock.Now()
	n, err := o.store.Newest(ctx, logservice.OwnershipStream)
	if err != nil {
		return err
	}
	o.applyEntries(n.Entries, n.Next, sent, o.clock.Now())
	o.mu.Lock()
	o.synced = true
	o.mu.Unlock()
	return nil
}

// applyEntries applies the entries of a read that was sent and answered at the given
// instants and reached the offset next. It then passes the tables to the agents, and the
// changes to the followers.
func (o *ownership) applyEntries(entries []logservice.KeyedEntry, next ident.Offset, sent, answered ident.Instant) {
	to, m := o.applyRead(entries, next, sent, answered)
	if len(to) > 0 {
		o.forwardRead(to, m)
	}
}

// applyRead does the work of applyEntries under the lock. It returns the entries for the
// followers, and the followers if there are entries that they lack.
func (o *ownership) applyRead(entries []logservice.KeyedEntry, next ident.Offset, sent, answered ident.Instant) ([]ident.Host, readForward) {
	o.mu.Lock()
	defer o.mu.Unlock()
	from := o.nextOffset
	var changes []tableChange
	for _, e := range entries {
		t, err := decodeTable(e.Value)
		if err != nil {
			o.log.Warn("ownership_record_unreadable", zap.String("service", e.Key), zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
			continue
		}
		service, era := parseTableKey(e.Key)
		end := e.Offset + 1
		if era != next.Era() {
			o.recordCopy(service, era, t)
			continue
		}
		if e.Offset < o.nextOffset && o.synced {
			continue
		}
		// Followers need each table that was read, also if this daemon has received a
		// newer one from its writer: they will rely on the end of this read.
		before := o.readTable[service]
		o.readTable[service] = versionedTable{t, end}
		changes = append(changes, tableChange{Service: service, Base: before.endOffset, EndOffset: end, Diff: before.Diff(t)})
		if !o.replaceIfNewer(service, t, end) {
			continue
		}
		o.log.Info("ownership_table", zap.String("service", e.Key), zap.Uint64("offset", uint64(e.Offset)),
			zap.Int("rows", len(t.Rows)), zap.Int("suspects", len(t.Suspects)))
	}
	if next < from {
		return nil, readForward{}
	}
	o.reachOffset(next, sent, answered)
	if !o.synced || len(entries) == 0 {
		return nil, readForward{}
	}
	return o.currentFollowers(), readForward{From: from, Next: next, Tables: changes}
}

// reachOffset records that the tables are those at an offset of the stream and passes
// them to the agents. The caller holds o.mu.
func (o *ownership) reachOffset(next ident.Offset, sent, answered ident.Instant) {
	if next > o.nextOffset || sent > o.readSent {
		o.readSent = sent
	}
	o.nextOffset = next
	o.readDue = false
	o.follower.CaughtUp()
	o.applyTables(next, sent, answered)
	o.requestCalls()
}

// recordCopy records a table of an earlier era. The caller holds o.mu.
func (o *ownership) recordCopy(s ident.Service, era uint64, t keyrange.Table) {
	if c, known := o.copies[s]; !known || era >= c.era {
		o.copies[s] = copiedTable{t, era}
	}
}

// applyTables passes a read that reached the offset next to the agents. A table of an
// earlier era is no proof of what a service's table is in the era of the read. The caller
// holds o.mu.
func (o *ownership) applyTables(next ident.Offset, sent, answered ident.Instant) {
	for s, a := range o.agents {
		if t := o.tables[s]; t.endOffset.Era() == next.Era() {
			a.ApplyRead(t.Table, next, sent, answered)
			continue
		}
		a.EnterEra(o.copies[s].Table, next, sent, answered)
	}
}

// replaceIfNewer stores the table of a service and returns true, unless a newer table is
// known, for example from a peer. The caller holds o.mu.
func (o *ownership) replaceIfNewer(s ident.Service, t keyrange.Table, end ident.Offset) bool {
	if end < o.tables[s].endOffset {
		return false
	}
	o.tables[s] = versionedTable{t, end}
	return true
}

// handleTableUpdate applies a table that a peer has written. It ignores tables that are
// not newer than the agent's last read.
func (o *ownership) handleTableUpdate(from ident.Host, m tableUpdate) {
	if !m.Table.Valid() {
		o.log.Warn("ownership_told_invalid", zap.String("service", string(m.Service)), zap.String("peer", string(from)))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[m.Service]
	if a == nil || !o.synced || m.EndOffset <= a.NextOffset() || !o.replaceIfNewer(m.Service, m.Table, m.EndOffset) {
		return
	}
	a.ApplyPublished(m.Table, m.EndOffset, o.clock.Now())
	o.requestCalls()
	o.log.Info("ownership_told", zap.String("service", string(m.Service)), zap.String("peer", string(from)),
		zap.Uint64("offset", uint64(m.EndOffset-1)), zap.Int("rows", len(m.Table.Rows)))
}

// decodeTable decodes an ownership table. It fails if rows are out of order or overlap.
func decodeTable(data []byte) (keyrange.Table, error) {
	var t keyrange.Table
	if err := codec.Unmarshal(data, &t); err != nil {
		return t, err
	}
	if !t.Valid() {
		return t, fmt.Errorf("sidecar: rows of the ownership table are out of order or overlap")
	}
	return t, nil
}
