package keyrange

import (
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// The world of these tests: a few hosts with a daemon and a server each, and a
// store. Time moves in steps; each step draws which messages arrive, which are
// lost, and which host is cut off, frozen, killed or drained. After every step no
// key may be held by two servers, and no server may have taken a key with a fence
// that another had before.

const step = 100 * time.Millisecond

func testConfig() Config {
	return Config{
		Lease: 4 * time.Second, MaxHold: 1500 * time.Millisecond, DriftPerMille: 20,
		UnsupportedLease: 1500 * time.Millisecond, SupportDuration: 1500 * time.Millisecond,
		SuspectAfter: time.Second, StartupDelay: 500 * time.Millisecond, RankDelay: 200 * time.Millisecond, BalanceInterval: time.Second, BalanceCooldown: time.Second,
	}
}

// store is the keyed stream with one key.
type store struct {
	records []Table // the record at each offset
	late    []lateWrite
}

type lateWrite struct {
	w   Write
	due ident.Instant
}

func (s *store) next() ident.Offset { return ident.Offset(len(s.records)) }

func (s *store) newest() Table {
	if len(s.records) == 0 {
		return Table{}
	}
	return s.records[len(s.records)-1]
}

func (s *store) put(w Write) bool {
	if w.Offset != s.next() {
		return false
	}
	s.records = append(s.records, w.Table)
	return true
}

// holding is a grant at a server.
type holding struct {
	Span
	fence uint64
	until ident.Instant
}

// host is one daemon and its server.
type host struct {
	name     ident.Host
	process  ident.Incarnation
	agent    *Agent
	down     ident.Instant                // the daemon does not run until then
	cut      ident.Instant                // neither store nor peers are reached until then
	apart    map[ident.Host]ident.Instant // a peer is not reached until then
	noStore  ident.Instant
	frozen   ident.Instant
	readAt   ident.Instant // next read of the store
	life     roster.Instance
	sequence int64
	beatAt   ident.Instant
	draining bool
	dark     ident.Instant // heartbeats do not arrive until then
	holds    []holding
	freed    []ReleasedRange
	reads    []pendingRead
	inbox    []letter
}

// letter is a message between daemons on its way.
type letter struct {
	due     ident.Instant
	deliver func()
}

type pendingRead struct {
	table Table
	next  ident.Offset
	sent  ident.Instant
	due   ident.Instant
}

type world struct {
	t     *rapid.T
	cfg   Config
	now   ident.Instant
	store store
	down  ident.Instant // the store does not answer until then
	calm  bool          // nothing is lost or late any more
	hosts []*host
	fence map[Key]uint64 // greatest fence with which a server had the key
	owner map[Key]ident.Host
}

// probes are the keys that are looked at.
var probes = []Key{0, 1, 9000, 16384, 20000, 30000, 32768, 45000, 50000, 65535}

func newWorld(t *rapid.T, n int, cfg Config) *world {
	w := &world{t: t, cfg: cfg, now: ident.Instant(time.Hour), fence: map[Key]uint64{}, owner: map[Key]ident.Host{}}
	for i := range n {
		h := &host{name: ident.Host(fmt.Sprint("h", i)), life: roster.Instance{ID: fmt.Sprint("s", i), StartedMS: 1}, apart: make(map[ident.Host]ident.Instant)}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *world) start(h *host) {
	h.process++
	h.agent = NewAgent(w.cfg, ident.Member{Host: h.name, Incarnation: h.process}, w.now)
	h.reads = nil
	h.readAt = w.now
}

func (h *host) runs(now ident.Instant) bool { return now >= h.down && now >= h.frozen }

// candidates is what a daemon believes of the others.
func (w *world) candidates(from *host) []Candidate {
	var cs []Candidate
	for _, h := range w.hosts {
		life, _ := h.agent.Instance()
		cs = append(cs, Candidate{
			Owner: Owner{ident.Member{Host: h.name, Incarnation: h.process}, life},
			Ready: life.ID != "" && !h.draining && w.now >= h.dark,
			Alive: h == from || h.runs(w.now) && w.reach(from, h),
			Slots: 10,
		})
	}
	return cs
}

func (w *world) step() {
	w.now = w.now.Add(step)
	kept := w.store.late[:0]
	for _, l := range w.store.late {
		if w.now < l.due {
			kept = append(kept, l)
			continue
		}
		w.store.put(l.w)
	}
	w.store.late = kept
	for _, h := range w.hosts {
		w.expire(h)
		if h.runs(w.now) {
			w.deliver(h)
			w.readStore(h)
			w.gossip(h)
			w.beat(h)
			w.plan(h)
		}
	}
	w.check()
}

// send puts a message on its way unless a cut stops it. One to a process that is
// not there any more is lost.
func (w *world) send(from, to *host, deliver func()) {
	if from != to && !w.reach(from, to) {
		return
	}
	delay := time.Duration(0)
	if !w.calm {
		delay = time.Duration(rapid.IntRange(0, 5).Draw(w.t, "message delay")) * step
	}
	process := to.process
	to.inbox = append(to.inbox, letter{w.now.Add(delay), func() {
		if to.process == process {
			deliver()
		}
	}})
}

// reach reports whether messages between two hosts arrive.
func (w *world) reach(a, b *host) bool {
	return w.now >= a.cut && w.now >= b.cut && w.now >= a.apart[b.name]
}

func (w *world) deliver(h *host) {
	letters := h.inbox
	h.inbox = nil
	for _, l := range letters {
		if l.due <= w.now {
			l.deliver()
		} else {
			h.inbox = append(h.inbox, l)
		}
	}
}

// gossip asks the guards for support, and sends consents.
func (w *world) gossip(h *host) {
	if (int64(w.now)/int64(step))%3 != 0 {
		return
	}
	guards := h.agent.Witnesses()
	member, next, asked := h.agent.member, h.agent.NextOffset(), w.now
	for _, g := range w.hosts {
		if !slices.Contains(guards, g.name) {
			continue
		}
		w.send(h, g, func() {
			if g.agent.GrantSupport(member, next, w.now) {
				w.send(g, h, func() { h.agent.RecordSupport(g.name, asked) })
			}
		})
	}
	for _, s := range h.agent.Consents(w.now) {
		for _, to := range w.hosts {
			w.send(h, to, func() { to.agent.RecordConsent(h.name, s) })
		}
	}
}

func (w *world) reachesStore(h *host) bool {
	return w.now >= w.down && w.now >= h.cut && w.now >= h.noStore
}

// readStore sends a read now and then; its answer arrives some steps later.
func (w *world) readStore(h *host) {
	for len(h.reads) > 0 && h.reads[0].due <= w.now {
		r := h.reads[0]
		h.reads = h.reads[1:]
		h.agent.ApplyRead(r.table, r.next, r.sent, w.now)
	}
	if w.now < h.readAt || !w.reachesStore(h) {
		return
	}
	h.readAt = w.now.Add(500 * time.Millisecond)
	delay := time.Duration(0)
	if !w.calm {
		delay = time.Duration(rapid.IntRange(0, 6).Draw(w.t, "read delay")) * step
	}
	h.reads = append(h.reads, pendingRead{w.store.newest(), w.store.next(), w.now, w.now.Add(delay)})
}

// expire drops what a server may hold no longer, by a clock that runs slow.
func (w *world) expire(h *host) {
	kept := h.holds[:0]
	for _, x := range h.holds {
		if w.now <= x.until {
			kept = append(kept, x)
		}
	}
	h.holds = kept
}

func (w *world) beat(h *host) {
	if w.now < h.beatAt || w.now < h.dark {
		return
	}
	h.beatAt = w.now.Add(400 * time.Millisecond)
	h.sequence++
	b := Heartbeat{Instance: h.life, Sequence: h.sequence, Draining: h.draining, Released: h.freed}
	for _, x := range h.holds {
		b.Held = append(b.Held, HeldRange{x.Span, x.fence})
	}
	sent := w.now
	g := h.agent.HandleHeartbeat(b, w.now)
	if !w.calm && rapid.IntRange(0, 19).Draw(w.t, "answer lost") == 0 {
		return
	}
	h.freed = nil
	if g != nil {
		w.take(h, g, sent)
	}
}

// take is what a server does with a grant.
func (w *world) take(h *host, g *Grant, sent ident.Instant) {
	before := h.holds
	h.holds = nil
	until := sent.Add(g.Hold + g.Hold/50)
	for _, r := range g.Rows {
		h.holds = append(h.holds, holding{r.Span, r.Fence, until})
		for _, k := range probes {
			if r.Contains(k) {
				w.taken(h, k, r.Fence)
			}
		}
	}
	for _, b := range before {
		parts := []Span{b.Span}
		for _, r := range g.Rows {
			var rest []Span
			for _, p := range parts {
				rest = append(rest, p.without(r.Span)...)
			}
			parts = rest
		}
		for _, p := range parts {
			h.freed = append(h.freed, ReleasedRange{p, "token"})
			h.beatAt = w.now
		}
	}
}

// taken notes that a server took a key. Another one's fence must be smaller.
func (w *world) taken(h *host, k Key, fence uint64) {
	if w.owner[k] != h.name && w.owner[k] != "" && fence <= w.fence[k] {
		w.t.Fatalf("%s took key %d with fence %d, %s had it with %d", h.name, k, fence, w.owner[k], w.fence[k])
	}
	w.owner[k], w.fence[k] = h.name, max(fence, w.fence[k])
}

func (w *world) plan(h *host) {
	write := h.agent.Tick(w.now, w.candidates(h))
	if write == nil {
		return
	}
	assert.Assert(w.t, write.Table.Valid(), "rows overlap")
	if !w.reachesStore(h) {
		h.agent.ApplyOutcome(*write, Refused, w.now, w.now)
		return
	}
	fate := 9
	if !w.calm {
		fate = rapid.IntRange(0, 9).Draw(w.t, "write")
	}
	switch fate {
	case 0: // done, not answered
		w.store.put(*write)
		h.agent.ApplyOutcome(*write, Unclear, w.now, w.now)
	case 1: // done seconds later, if its condition still holds
		due := w.now.Add(time.Duration(rapid.IntRange(5, 60).Draw(w.t, "late")) * step)
		w.store.late = append(w.store.late, lateWrite{*write, due})
		h.agent.ApplyOutcome(*write, Unclear, w.now, w.now)
	default:
		outcome := Refused
		if w.store.put(*write) {
			outcome = Written
			w.tell(h, *write)
		}
		h.agent.ApplyOutcome(*write, outcome, w.now, w.now)
	}
}

// tell sends a written table to those who were given keys.
func (w *world) tell(from *host, write Write) {
	for _, name := range write.Table.Receivers(write.Offset) {
		for _, to := range w.hosts {
			if to.name == name {
				w.send(from, to, func() { to.agent.ApplyPublished(write.Table, write.Offset+1, w.now) })
			}
		}
	}
}

func (w *world) check() {
	for _, k := range probes {
		holder := ""
		for _, h := range w.hosts {
			for _, x := range h.holds {
				if !x.Contains(k) {
					continue
				}
				if holder != "" && holder != string(h.name) {
					w.t.Fatalf("key %d is held by %s and %s", k, holder, h.name)
				}
				holder = string(h.name)
			}
		}
	}
}
