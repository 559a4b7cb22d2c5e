package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// Times of the list of hosts in the store.
const (
	registrationSpread = 2 * time.Second // in which daemons register again after a restore, so that their writes stay below the rate of the store
	secondListDelay    = 1 * time.Second // until the list of hosts is read again; longer than daemons differ in their start
)

// register is the duty that adds this daemon to the store's list of hosts and then reads
// the list. In this order, of two daemons that start at the same time at least one finds
// the other. It adds the daemon again when the store has come back from a copy that may lack
// its record.
func (p *peers) register(ctx context.Context) error {
	retry := newStoreRetrier(initialBackoff, maxConfigBackoff)
	if err := p.putHost(ctx, retry); err != nil {
		return err
	}
	p.listHosts(ctx, retry)
	// With many daemons, one that registered later greets few of the others.
	sleep(ctx, secondListDelay)
	p.listHosts(ctx, retry)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.registrationDue:
		}
		sleep(ctx, rand.N(registrationSpread))
		if err := p.putHost(ctx, retry); err != nil {
			return err
		}
	}
}

// requestRegistration makes register add this daemon to the list of hosts again.
func (p *peers) requestRegistration() {
	select {
	case p.registrationDue <- struct{}{}:
	default: // a request is already pending
	}
}

// putHost writes the record of this host to the store, and repeats the call until it has
// succeeded.
func (p *peers) putHost(ctx context.Context, retry *storeRetrier) error {
	expected := roster.Server{Service: p.service}
	data, err := codec.Marshal(roster.Entry{Member: p.self, Addr: p.addr, Location: p.location, Server: expected})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := p.store.Put(ctx, logservice.HostStream, string(p.self.Host), data)
		if err == nil {
			break
		}
		retry.waitAfterCall(ctx, err, p.log, "host_register")
	}
	return nil
}

// listHosts reads the store's list of hosts.
func (p *peers) listHosts(ctx context.Context, retry *storeRetrier) {
	for ctx.Err() == nil {
		n, err := p.store.Newest(ctx, logservice.HostStream)
		retry.waitAfterCall(ctx, err, p.log, "host_list")
		if err == nil {
			p.applyHostList(n.Entries)
			return
		}
	}
}

// applyHostList adds the hosts of the store's list to the roster, and the departures of
// their servers. Those that the previous process of this daemon recorded are in force here.
func (p *peers) applyHostList(entries []logservice.KeyedEntry) {
	p.mergeHostList(entries)
	p.mu.Lock()
	own := p.roster.Departures(p.self.Host)
	p.mu.Unlock()
	for _, d := range own {
		p.server.recordDeparture(d, sourceStore)
	}
}

func (p *peers) mergeHostList(entries []logservice.KeyedEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range entries {
		if host, ok := departureHost(e.Key); ok {
			ds, err := decodeDepartures(e.Value, now)
			if err != nil {
				p.log.Warn("departure_unreadable", zap.String("host", string(host)), zap.Error(err))
				continue
			}
			for _, d := range ds {
				p.roster.RecordDeparture(host, d)
			}
			continue
		}
		var entry roster.Entry
		err := codec.Unmarshal(e.Value, &entry)
		if err == nil {
			err = checkAddr(entry.Addr)
		}
		if err != nil || entry.Member.Host != ident.Host(e.Key) {
			p.log.Warn("host_record_unreadable", zap.String("host", e.Key), zap.Error(err))
			continue
		}
		if entry.Member.Host != p.self.Host && p.roster.AddListed(entry) {
			p.foundAt[entry.Member.Host] = now
		}
	}
	p.hostsListed = true
	p.firstListed = p.likelyRelays()
	p.log.Info("hosts_listed", zap.Int("hosts", len(entries)))
}

// checkAddr returns an error if an address is not of the form host:port.
func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return &net.AddrError{Err: "invalid host or port", Addr: addr}
	}
	return nil
}
