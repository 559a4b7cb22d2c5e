package sidecar

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// departureSuffix follows the name of a host in the keys of its server's departure, in the
// stream of hosts.
const departureSuffix = "@departure"

// departureAckDelay bounds how long the acknowledgement of a departure waits for its record
// in the store. A server takes answers for one second.
const departureAckDelay = 300 * time.Millisecond

// maxDepartureAge limits the age of a departure as a record or another daemon states it.
const maxDepartureAge = time.Hour

// departureHost returns the host of a key in the stream of hosts, if it is that of a
// departure.
func departureHost(key string) (h ident.Host, ok bool) {
	name, ok := strings.CutSuffix(key, departureSuffix)
	return ident.Host(name), ok
}

// storedDepartures is the value of a record: the last departure of a server on the host, and
// those before it.
type storedDepartures struct {
	storedDeparture
	Earlier []storedDeparture `codec:"e"`
}

// storedDeparture is one departure in a record. The processes of a host share no other clock
// than the time of day.
type storedDeparture struct {
	Instance roster.Instance `codec:"i"`
	AnyStart bool            `codec:"s"`
	SinceMS  int64           `codec:"t"` // Unix time in milliseconds
}

// departureStore keeps in the store which servers beside this daemon leave, for the next
// process of the daemon.
type departureStore struct {
	host  ident.Host
	store logservice.KeyedLog
	clock ident.Clock
	log   *zap.Logger
	due   chan struct{} // signals that last is not stored; capacity 1

	mu     sync.Mutex // guards the fields below
	last   roster.Departures
	stored chan struct{} // closed when last is in the store
}

func newDepartureStore(host ident.Host, store logservice.KeyedLog, clock ident.Clock, log *zap.Logger) *departureStore {
	return &departureStore{host: host, store: store, clock: clock, log: log, due: make(chan struct{}, 1)}
}

// save writes departures to the store soon, in the place of those before. The result is closed
// when that is done.
func (s *departureStore) save(ds roster.Departures) (stored <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := func(a, b roster.Departure) bool { return a.Instance == b.Instance && a.AnyStart == b.AnyStart }
	if s.stored == nil || !slices.EqualFunc(s.last, ds, same) {
		s.last, s.stored = ds, make(chan struct{})
		s.signal()
	}
	return s.stored
}

// saveAgain writes the last departures again, because the store may have lost them.
func (s *departureStore) saveAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.last) > 0 {
		s.signal()
	}
}

func (s *departureStore) signal() {
	select {
	case s.due <- struct{}{}:
	default: // a signal is already pending
	}
}

// run is the duty that writes departures.
func (s *departureStore) run(ctx context.Context) error {
	retry := newStoreRetrier(initialBackoff, maxConfigBackoff)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.due:
		}
		if err := s.write(ctx, retry); err != nil {
			return err
		}
	}
}

// write writes the last departures, and repeats the call until it has succeeded.
func (s *departureStore) write(ctx context.Context, retry *storeRetrier) error {
	s.mu.Lock()
	ds, stored := s.last, s.stored
	s.mu.Unlock()
	value, err := encodeDepartures(ds, s.clock.Now())
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := s.store.Put(ctx, logservice.HostStream, string(s.host)+departureSuffix, value)
		retry.waitAfterCall(ctx, err, s.log, "departure_write")
		if err != nil {
			continue
		}
		select {
		case <-stored: // written before
		default:
			close(stored)
		}
		return nil
	}
	return nil
}

// encodeDepartures returns the record of departures.
func encodeDepartures(ds roster.Departures, now ident.Instant) ([]byte, error) {
	var v storedDepartures
	for i, d := range ds {
		if i > 0 {
			v.Earlier = append(v.Earlier, v.storedDeparture)
		}
		since := time.Now().Add(-now.Sub(d.Since))
		v.storedDeparture = storedDeparture{Instance: d.Instance, AnyStart: d.AnyStart, SinceMS: since.UnixMilli()}
	}
	return codec.Marshal(v)
}

// decodeDepartures returns the departures that a record states, the latest last.
func decodeDepartures(value []byte, now ident.Instant) (roster.Departures, error) {
	var v storedDepartures
	if err := codec.Unmarshal(value, &v); err != nil {
		return nil, err
	}
	var ds roster.Departures
	for _, d := range append(v.Earlier, v.storedDeparture) {
		ds.Record(roster.Departure{Instance: d.Instance, AnyStart: d.AnyStart, Since: departedSince(now, time.Since(time.UnixMilli(d.SinceMS)))})
	}
	return ds, nil
}

// departedSince returns the instant of a departure whose age another process states.
func departedSince(now ident.Instant, age time.Duration) ident.Instant {
	return now.Add(-min(max(age, 0), maxDepartureAge))
}

// sendDepartureNotices tells the daemon on a host which servers beside it leave, as far as that
// is known.
func (p *peers) sendDepartureNotices(h ident.Host) {
	p.mu.Lock()
	to, known := p.roster.Get(h)
	ds := p.roster.Departures(h)
	p.mu.Unlock()
	if !known || h == p.self.Host {
		return
	}
	for _, d := range ds {
		age := p.clock.Now().Sub(d.Since)
		p.send(to.Entry, typeDeparture, departureNotice{Instance: d.Instance, AnyStart: d.AnyStart, AgeMS: age.Milliseconds()})
	}
}

// handleDepartureNotice applies what another daemon was told before this one started.
func (p *peers) handleDepartureNotice(n departureNotice) {
	age := time.Duration(min(n.AgeMS, maxDepartureAge.Milliseconds())) * time.Millisecond
	p.server.recordDeparture(roster.Departure{Instance: n.Instance, AnyStart: n.AnyStart, Since: departedSince(p.clock.Now(), age)}, sourcePeer)
}
