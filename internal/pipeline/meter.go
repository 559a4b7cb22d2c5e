package pipeline

import (
	"context"
	"errors"
	"io"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Regions looks up the region of a daemon.
type Regions interface {
	RegionOf(m ident.Member) ident.Region
}

// usageCounter counts the usage of one request at one place.
type usageCounter struct {
	meter        Meter
	r            *Request
	usage        Usage
	requestBytes *countingReader // nil if another counter counts the request's bytes
	answerBytes  int64
}

// MeterRequests counts each request once where it enters this daemon. A request
// from a peer is counted as the receiving end of the hop, with its bytes. A request
// that this daemon refuses is counted too, unless its service is unknown.
func MeterRequests(meter Meter, regions Regions) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			c := newUsageCounter(meter, r)
			if r.Origin == FromPeer {
				c.setPeer(regions, r.Peer)
				c.countRequestBody()
			}
			resp, err := next.Handle(ctx, r)
			if err != nil {
				c.usage.Refused = isRefusal(err)
				c.record()
				return nil, err
			}
			resp.Body = &meteredBody{ReadCloser: resp.Body, counter: c, countBytes: r.Origin == FromPeer}
			return resp, nil
		})
	}
}

// MeterRuns counts the runs on this daemon's backend server, with the time from
// dispatch to the end of the answer. It counts the bytes of a caller's request;
// those of a peer's request are counted at the hop, by MeterRequests.
func MeterRuns(meter Meter, regions Regions, clock ident.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			c := newUsageCounter(meter, r)
			c.usage.Run = true
			r.Started = 0 // may be set by an earlier attempt
			if r.Origin == FromPeer {
				c.setPeer(regions, r.Peer)
			} else {
				c.countRequestBody()
			}
			resp, err := next.Handle(ctx, r)
			if err != nil {
				c.recordRun(clock, errkind.As(err).Answer().Truth)
				return nil, err
			}
			resp.Body = &meteredBody{ReadCloser: resp.Body, counter: c, countBytes: r.Origin == FromCaller,
				record: func() { c.recordRun(clock, resp.Truth) }}
			return resp, nil
		})
	}
}

// recordRun records the run, unless the request was not dispatched or the backend
// server did not run it.
func (c *usageCounter) recordRun(clock ident.Clock, truth errkind.Truth) {
	if c.r.Started == 0 || truth == errkind.NotRun {
		return
	}
	c.usage.Executed = true
	c.usage.SlotTime = clock.Now().Sub(c.r.Started)
	c.record()
}

// isRefusal reports whether err means that the request did not run.
func isRefusal(err error) bool { return errkind.As(err).Answer().Truth == errkind.NotRun }

// meteredPeers counts the requests that this daemon forwards.
type meteredPeers struct {
	Peers
	meter   Meter
	regions Regions
}

// Forward forwards the request and counts it as the sending end of the hop.
func (p *meteredPeers) Forward(ctx context.Context, to Target, r *Request) (*Response, error) {
	c := newUsageCounter(p.meter, r)
	c.usage.Forwarded = true
	c.setPeer(p.regions, to.Member)
	c.countRequestBody()
	resp, err := p.Peers.Forward(ctx, to, r)
	if err != nil {
		c.usage.Refused = isRefusal(err)
		if mayHaveReachedPeer(err) {
			c.record()
		}
		return nil, err
	}
	resp.Body = &meteredBody{ReadCloser: resp.Body, counter: c, countBytes: true}
	return resp, nil
}

// mayHaveReachedPeer reports whether a request that failed with err may have
// reached the peer.
func mayHaveReachedPeer(err error) bool {
	return errkind.Of(err) != errkind.PeerUnreachable && !errors.Is(err, ErrNotSent)
}

func newUsageCounter(meter Meter, r *Request) *usageCounter {
	return &usageCounter{meter: meter, r: r, usage: Usage{Origin: r.Origin}}
}

func (c *usageCounter) setPeer(regions Regions, peer ident.Member) {
	c.usage.Peer = peer
	c.usage.PeerRegion = regions.RegionOf(peer)
}

// countRequestBody makes the request's body count its bytes as they are read.
func (c *usageCounter) countRequestBody() {
	if c.r.Body != nil {
		c.requestBytes = &countingReader{r: c.r.Body}
		c.r.Body = c.requestBytes
	}
}

// record passes the usage to the meter. It does nothing if the service is unknown,
// that is, if it has no tenant.
func (c *usageCounter) record() {
	c.usage.Service, c.usage.Tenant = c.r.Service.Name, c.r.Service.Tenant
	if c.usage.Tenant == "" {
		return
	}
	c.usage.BytesIn = c.requestBytes.count()
	c.usage.BytesOut = c.answerBytes
	c.meter.Record(c.usage)
}

// meteredBody counts the bytes of an answer and records the usage when it is closed.
type meteredBody struct {
	io.ReadCloser
	counter    *usageCounter
	countBytes bool   // count the answer's bytes in counter
	record     func() // records the usage; if nil, counter.record does
	closed     bool
}

func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.countBytes {
		b.counter.answerBytes += int64(n)
	}
	return n, err
}

func (b *meteredBody) Close() error {
	err := b.ReadCloser.Close()
	if b.closed {
		return err
	}
	b.closed = true
	if b.record != nil {
		b.record()
		return err
	}
	b.counter.record()
	return err
}
