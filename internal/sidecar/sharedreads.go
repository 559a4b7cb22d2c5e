package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
)

const (
	followerTimeout = 2 * time.Second        // a follower that asked longer ago receives no more records
	followCheck     = 250 * time.Millisecond // between checks whether a follower must read by itself

	// sharedPoll is the maximum wait of a poll of a daemon that has followers. It is
	// shorter than that of a daemon on its own, because a shared read is older by the
	// time between two requests when it arrives.
	sharedPoll = 1100 * time.Millisecond
)

// readRequest asks a daemon how recent its last read of the ownership stream is.
type readRequest struct {
	Seq uint32 `codec:"q"`
}

// readAnswer is the answer to a readRequest.
type readAnswer struct {
	Seq   uint32       `codec:"q"` // of the request
	Next  ident.Offset `codec:"n"` // end of the stream at the last read
	AgeMS int64        `codec:"a"` // time from the sending of that read to this answer, in milliseconds
}

// readForward carries what a read of the ownership stream changed to a follower.
type readForward struct {
	From   ident.Offset  `codec:"f"` // where the read began
	Next   ident.Offset  `codec:"n"` // end of the stream at the read
	Tables []tableChange `codec:"e"`
}

// tableChange is the change of one service's table by a read.
type tableChange struct {
	Service   ident.Service      `codec:"s"`
	Base      ident.Offset       `codec:"b"` // EndOffset of the table that it changes; zero if there was none
	EndOffset ident.Offset       `codec:"n"` // end of the stream right after the table
	Diff      keyrange.TableDiff `codec:"d"`
}

// startReadRequest returns the daemon to ask for its last read and the request. It
// returns false if this daemon reads by itself.
func (o *ownership) startReadRequest(members []sharedread.Member) (ident.Host, readRequest, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	source, seq, ok := o.follower.NextRequest(members, o.clock.Now())
	return source, readRequest{Seq: seq}, ok
}

// handleReadRequest records the sender as a follower and returns the answer. It returns
// false if no read has been made that the sender could rely on.
func (o *ownership) handleReadRequest(from ident.Host, m readRequest) (readAnswer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.followers[from] = now
	if !o.synced || o.readSent == 0 {
		return readAnswer{}, false
	}
	age := now.Sub(o.readSent) + time.Millisecond // rounded up
	return readAnswer{Seq: m.Seq, Next: o.nextOffset, AgeMS: age.Milliseconds()}, true
}

// handleReadAnswer applies the answer to a readRequest as a read of this daemon.
func (o *ownership) handleReadAnswer(from ident.Host, m readAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.synced || m.Next < o.nextOffset || m.AgeMS < 0 {
		return
	}
	now := o.clock.Now()
	age := time.Duration(m.AgeMS) * time.Millisecond
	sent, ok := o.follower.ApplyAnswer(from, m.Seq, age, m.Next == o.nextOffset, now)
	if !ok {
		return
	}
	o.readSent = max(o.readSent, sent)
	o.applyTables(m.Next, sent, now)
}

// handleReadForward applies the records that the source has read. It ignores them if
// records before them are missing here; the follower then reads by itself.
func (o *ownership) handleReadForward(m readForward) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.synced || m.From != o.nextOffset || m.Next <= m.From {
		return
	}
	for _, c := range m.Tables {
		if o.readTable[c.Service].endOffset != c.Base {
			return // a change before it did not arrive; this daemon will read by itself
		}
		t, err := o.readTable[c.Service].Apply(c.Diff)
		if err != nil {
			o.log.Warn("ownership_forward_refused", zap.String("service", string(c.Service)),
				zap.Uint64("offset", uint64(c.EndOffset-1)), zap.Error(err))
			return
		}
		o.readTable[c.Service] = versionedTable{t, c.EndOffset}
		o.replaceIfNewer(c.Service, t, c.EndOffset) // a newer one may have come from its writer
	}
	// The source's answers renew the lease; when it sent this read is not known here.
	o.reachOffset(m.Next, 0, o.clock.Now())
}

// currentFollowers returns the hosts that asked for this daemon's reads recently. The
// caller holds o.mu.
func (o *ownership) currentFollowers() []ident.Host {
	var hosts []ident.Host
	now := o.clock.Now()
	for h, at := range o.followers {
		if now.Sub(at) > followerTimeout {
			delete(o.followers, h)
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// follows reports whether this daemon relies on the reads of another one.
func (o *ownership) follows() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.synced && !o.readDue && o.follower.Follows(o.clock.Now())
}

// sendReadRequest asks the source of this failure domain for its last read.
func (p *peers) sendReadRequest() {
	source, m, ok := p.ownership.startReadRequest(p.domainMembers())
	if !ok {
		return
	}
	if q, known := p.lookUp(source); known {
		p.send(q.Entry, typeReadRequest, m)
	}
}

// domainMembers returns the daemons of the own failure domain, with this one.
func (p *peers) domainMembers() []sharedread.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []sharedread.Member
	p.roster.Each(func(q *roster.Peer) {
		if q.Location == p.location {
			out = append(out, sharedread.Member{
				Host: q.Member.Host, Reachable: q.LastHeard > 0 && q.UnreachableSince == 0 && !q.Leaving,
			})
		}
	})
	return out
}

// handleReadRequest answers a follower.
func (p *peers) handleReadRequest(from ident.Member, m readRequest) {
	a, ok := p.ownership.handleReadRequest(from.Host, m)
	if q, known := p.lookUp(from.Host); ok && known {
		p.send(q.Entry, typeReadAnswer, a)
	}
}

// forwardRead sends the records of a read to followers.
func (p *peers) forwardRead(to []ident.Host, m readForward) {
	for _, h := range to {
		if q, known := p.lookUp(h); known {
			p.send(q.Entry, typeReadForward, m)
		}
	}
}
