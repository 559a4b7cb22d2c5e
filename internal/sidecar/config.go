package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// maxConfigBackoff keeps the first read after an outage of the store well within
// the time in which a configuration must be in force.
const maxConfigBackoff = 700 * time.Millisecond

// sourceStore is the source of configurations that were read from the store.
const sourceStore = "store"

// configs follows the operators' configuration. A version never gives way to an
// older one.
type configs struct {
	store    logservice.KeyedLog
	decode   func([]byte) (routes.Config, error)
	pollTime func() time.Duration
	changed  func(t *routes.Table, source string)
	log      *zap.Logger

	table atomic.Pointer[routes.Table]

	mu  sync.Mutex // guards raw and the order of changes
	raw []byte     // the configuration in force as it was read

	pollMu sync.Mutex         // guards cancel
	cancel context.CancelFunc // ends the read that waits for a change
}

// Routes returns the routes in force, nil before the first configuration.
func (c *configs) Routes() *routes.Table { return c.table.Load() }

// Version returns the version in force, zero before the first.
func (c *configs) Version() routes.Version {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// follow is the duty that reads the configuration.
func (c *configs) follow(ctx context.Context) error {
	retry := newBackoff(firstBackoff, maxConfigBackoff)
	var next ident.Offset
	synced := false
	for ctx.Err() == nil {
		var err error
		if synced {
			next, err = c.poll(ctx, next)
			synced = !errors.Is(err, logservice.ErrTruncated)
		} else {
			next, err = c.readAll(ctx)
			synced = err == nil
		}
		if !errors.Is(err, logservice.ErrTruncated) {
			retry.wait(ctx, err, c.log, "config_read")
		}
		if synced && err == nil && c.table.Load() == nil {
			sleep(ctx, firstBackoff)
		}
	}
	return nil
}

func (c *configs) readAll(ctx context.Context) (ident.Offset, error) {
	n, err := c.store.Newest(ctx, logservice.ConfigStream)
	if err != nil {
		return 0, err
	}
	c.take(n.Entries)
	return n.Next, nil
}

func (c *configs) poll(ctx context.Context, from ident.Offset) (ident.Offset, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.pollMu.Lock()
	c.cancel = cancel
	c.pollMu.Unlock()
	ch, err := c.store.Poll(pollCtx, logservice.ConfigStream, from, c.pollTime())
	if pollCtx.Err() != nil && ctx.Err() == nil {
		return from, nil // another daemon knows a newer version: read again at once
	}
	if err != nil {
		return from, err
	}
	c.take(ch.Entries)
	return ch.Next, nil
}

// hint takes in that a version is known elsewhere. A read that has waited since
// before an outage of the store may never be answered, so it is made again.
func (c *configs) hint(v routes.Version) {
	if v <= c.Version() {
		return
	}
	c.pollMu.Lock()
	defer c.pollMu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// take applies the configurations among records.
func (c *configs) take(entries []logservice.KeyedEntry) {
	for _, e := range entries {
		if e.Key == logservice.ConfigKey {
			c.apply(e.Value, sourceStore)
		}
	}
}

// apply puts a configuration in force unless a newer one is.
func (c *configs) apply(raw []byte, source string) {
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
	c.changed(t, source)
	c.log.Info("config_in_force", zap.Uint64("version", uint64(cfg.Version)), zap.String("source", source),
		zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
}

// document returns the configuration in force as it was read.
func (c *configs) document() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
}

// sharded returns the sharded services of a configuration.
func sharded(t *routes.Table) []ident.Service {
	var out []ident.Service
	for name, s := range t.Services {
		if s.Sharded {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
