package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// maxConfigBackoff limits the delay between reads of the configuration, so that the
// first read after an outage of the store happens well within the time in which a new
// configuration must be in force.
const maxConfigBackoff = 700 * time.Millisecond

// hintGrace is how long a poll that waits may take to bring a version that a peer has
// announced: the store answers it as soon as it has the record, in a round trip between
// regions.
const hintGrace = 300 * time.Millisecond

// sourceStore names the store as the source of a configuration, where other sources are
// hosts, or of a departure.
const sourceStore = "store"

// configFollower keeps the operators' configuration up to date, from the store and from
// peers. The version in force never decreases.
type configFollower struct {
	store    logservice.KeyedLog
	decode   func([]byte) (routes.Config, error)
	pollTime func() time.Duration                 // maximum wait of the next poll
	onChange func(t *routes.Table, source string) // called after a new table is in force
	log      *zap.Logger

	localService func() ident.Service // of the backend server on this host, according to the settings

	evacuations *evacuations // the operators' other orders in the same stream

	table atomic.Pointer[routes.Table]

	mu  sync.Mutex // guards raw and serializes changes of table
	raw []byte     // the configuration in force, encoded

	restarted  atomic.Bool        // restartPoll was called since the last poll began
	pollMu     sync.Mutex         // guards the fields below
	cancelPoll context.CancelFunc // cancels the pending poll
	pollSent   time.Time          // when it was sent
	pollWaits  bool               // it waits for a record
}

// Routes returns the routing table in force, nil before the first configuration.
func (c *configFollower) Routes() *routes.Table { return c.table.Load() }

// isConfigured reports whether the configuration in force has a service. Before the first one,
// only the service of the settings counts.
func (c *configFollower) isConfigured(s ident.Service) bool {
	t := c.Routes()
	if t == nil {
		return s == c.localService()
	}
	_, ok := t.Services[s]
	return ok
}

// Version returns the version in force, zero before the first configuration.
func (c *configFollower) Version() routes.Version {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// follow is the duty that reads the configuration from the store and applies changes.
func (c *configFollower) follow(ctx context.Context) error {
	retry := newStoreRetrier(initialBackoff, maxConfigBackoff)
	var next ident.Offset
	synced := false
	for ctx.Err() == nil {
		var err error
		if synced {
			wait := c.pollTime()
			if retry.isRecovering() || c.restarted.Swap(false) {
				wait = 0 // the log may have come back from a copy: its answer shows that
			}
			next, err = c.poll(ctx, next, wait)
			synced = !errors.Is(err, logservice.ErrTruncated)
		} else {
			next, err = c.readAll(ctx)
			synced = err == nil
		}
		if !errors.Is(err, logservice.ErrTruncated) {
			retry.waitAfterCall(ctx, err, c.log, "config_read")
		}
		if synced && err == nil && c.table.Load() == nil {
			sleep(ctx, initialBackoff)
		}
	}
	return nil
}

// readAll reads the newest configuration and returns the offset from which to poll.
func (c *configFollower) readAll(ctx context.Context) (ident.Offset, error) {
	asked := c.evacuations.clock.Now()
	n, err := c.store.Newest(ctx, logservice.ConfigStream)
	if err != nil {
		return 0, err
	}
	c.evacuations.applyRead(n, asked)
	c.applyEntries(n.Entries)
	return n.Next, nil
}

// poll waits for entries from the given offset on, applies them and returns the offset of
// the next poll.
func (c *configFollower) poll(ctx context.Context, from ident.Offset, wait time.Duration) (ident.Offset, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.pollMu.Lock()
	c.cancelPoll, c.pollSent, c.pollWaits = cancel, time.Now(), wait > 0
	c.pollMu.Unlock()
	asked := c.evacuations.clock.Now()
	ch, err := c.store.Poll(pollCtx, logservice.ConfigStream, from, wait)
	switch {
	case err == nil:
	case pollCtx.Err() != nil && ctx.Err() == nil:
		return from, nil // restartPoll was called: poll again at once
	default:
		return from, err
	}
	reread := c.evacuations.applyChanges(ch, wait > 0, asked)
	c.applyEntries(ch.Entries)
	if reread {
		return ch.Next, fmt.Errorf("%w: another daemon has told of a later offset", logservice.ErrTruncated)
	}
	return ch.Next, nil
}

// handleEvacuationNotice is called when another daemon has told of evacuations. The store is
// asked for what a poll that waits does not bring within hintGrace.
func (c *configFollower) handleEvacuationNotice() {
	time.AfterFunc(hintGrace, func() {
		c.pollMu.Lock()
		stale := c.pollWaits && time.Since(c.pollSent) >= hintGrace
		c.pollMu.Unlock()
		if stale && c.evacuations.isTold() {
			c.restartPoll()
		}
	})
}

// handleVersionHint is called when a peer has announced version v. If the pending poll does
// not bring it within hintGrace, the poll is repeated: one that began before an outage of
// the store may never be answered. A poll that returns at once is left alone, so that
// hints in quick succession do not keep every poll from being answered.
func (c *configFollower) handleVersionHint(v routes.Version) {
	if v <= c.Version() {
		return
	}
	c.pollMu.Lock()
	sent, waits := c.pollSent, c.pollWaits
	c.pollMu.Unlock()
	if !waits {
		return
	}
	if left := hintGrace - time.Since(sent); left > 0 {
		time.AfterFunc(left, func() { c.restartStalePoll(sent, v) })
		return
	}
	c.restartStalePoll(sent, v)
}

// restartStalePoll restarts the poll that was sent at an instant, if it is still pending and
// version v is not in force.
func (c *configFollower) restartStalePoll(sent time.Time, v routes.Version) {
	c.pollMu.Lock()
	pending := c.pollSent.Equal(sent)
	c.pollMu.Unlock()
	if pending && v > c.Version() {
		c.restartPoll()
	}
}

// restartPoll ends the pending poll, if any, and makes the next one return at once.
func (c *configFollower) restartPoll() {
	c.restarted.Store(true)
	c.pollMu.Lock()
	defer c.pollMu.Unlock()
	if c.cancelPoll != nil {
		c.cancelPoll()
	}
}

// applyEntries applies the configurations among the entries of the stream.
func (c *configFollower) applyEntries(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key == logservice.ConfigKey {
			c.applyDocument(e.Value, sourceStore)
		}
	}
}

// applyDocument decodes a configuration and puts it in force if it is newer than the
// one in force. source names where it came from, for the log.
func (c *configFollower) applyDocument(raw []byte, source string) {
	cfg, err := c.decode(raw)
	if err != nil {
		c.log.Warn("config_refused", zap.String("source", source), zap.Int("bytes", len(raw)), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Version <= c.Version() {
		return
	}
	t := routes.NewTable(cfg)
	c.raw = raw
	c.table.Store(t)
	c.onChange(t, source)
	c.log.Info("config_in_force", zap.Uint64("version", uint64(cfg.Version)), zap.String("source", source),
		zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
}

// configDocument returns the encoded configuration in force, nil before the first.
func (c *configFollower) configDocument() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
}

// shardedServices returns the sharded services of a routing table, sorted by name.
func shardedServices(t *routes.Table) []routes.Service {
	var out []routes.Service
	for _, s := range t.Services {
		if s.Sharded {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b routes.Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
