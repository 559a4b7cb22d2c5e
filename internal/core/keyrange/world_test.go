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

// The simulation has a store and a few hosts, each with a daemon and a server.
// Time advances in steps; each step draws which messages arrive, which are lost,
// and which host is isolated, frozen, killed, drained or evacuated. After every step no key
// may be held by two servers, and no server may have acquired a key with a fencing
// token that is not greater than that of an earlier holder.

const stepInterval = 100 * time.Millisecond

func testConfig() Config {
	return Config{
		CallDelay: maxArrivalSteps * stepInterval,
		Lease:     4 * time.Second, MaxHold: 1500 * time.Millisecond, DriftPerMille: 20,
		UnsupportedLease: 1500 * time.Millisecond, SupportDuration: 1500 * time.Millisecond,
		SuspectAfter: time.Second, StartupDelay: 500 * time.Millisecond, RankDelay: 200 * time.Millisecond, BalanceInterval: time.Second, BalanceCooldown: time.Second,
	}
}

// store simulates a keyed stream with the tables of one service. It may come back from a
// copy, which begins another era.
type store struct {
	era        uint64
	histories  [][]record // the records of each era
	lateWrites []lateWrite
}

// record is a table and the era in which its writer wrote it.
type record struct {
	table Table
	era   uint64
}

// storeRead is what the store holds up to an offset.
type storeRead struct {
	next  ident.Offset
	table Table // the newest of the era of next, if found
	found bool
	copy  Table // the newest of an earlier era
}

type lateWrite struct {
	write Write
	due   ident.Instant
}

func newStore() store { return store{histories: [][]record{nil}} }

func (s *store) next() ident.Offset {
	return ident.OffsetIn(s.era, uint64(len(s.histories[s.era])))
}

func (s *store) newest() Table { return s.readAt(s.next()).table }

// readAt returns what a read gave that ended at an offset.
func (s *store) readAt(next ident.Offset) storeRead {
	r := storeRead{next: next}
	copyEra := uint64(0)
	for _, x := range s.histories[next.Era()][:next.Number()] {
		switch {
		case x.era == next.Era():
			r.table, r.found = x.table, true
		case x.era >= copyEra:
			r.copy, copyEra = x.table, x.era
		}
	}
	return r
}

// appendAt appends a write if the stream has as many records as its writer read. The store
// does not know in which era that was.
func (s *store) appendAt(w Write) Outcome {
	if w.Offset.Number() != s.next().Number() {
		return Refused
	}
	s.histories[s.era] = append(s.histories[s.era], record{w.Table, w.Offset.Era()})
	if w.Offset.Era() != s.era {
		return Unclear
	}
	return Written
}

// restore makes the store come back from a copy with the first records only.
func (s *store) restore(records int) {
	copied := slices.Clone(s.histories[s.era][:records])
	s.histories = append(s.histories, copied)
	s.era++
}

// apply passes a read to an agent.
func (r storeRead) apply(a *Agent, sent, now ident.Instant) {
	if r.found {
		a.ApplyRead(r.table, r.next, sent, now)
		return
	}
	a.EnterEra(r.copy, r.next, sent, now)
}

// holding is a granted range at a server.
type holding struct {
	Span
	fence uint64
	until ident.Instant
}

// host is one daemon and its server.
type host struct {
	name                  ident.Host
	incarnation           ident.Incarnation
	agent                 *Agent
	stoppedUntil          ident.Instant                // the daemon does not run
	isolatedUntil         ident.Instant                // the host reaches neither the store nor its peers
	unreachableUntil      map[ident.Host]ident.Instant // the host does not reach this peer
	storeUnreachableUntil ident.Instant
	frozenUntil           ident.Instant
	nextReadAt            ident.Instant // next read of the store
	instance              roster.Instance
	sequence              int64
	nextHeartbeatAt       ident.Instant
	draining              bool
	evacuatedUntil        ident.Instant
	heartbeatsLostUntil   ident.Instant
	adoption              uint64        // instances that the daemon has adopted beside others than the server's own
	replacedUntil         ident.Instant // the daemon takes another instance for the server
	holdings              []holding
	released              []ReleasedRange
	pendingReads          []pendingRead
	readNext              ident.Offset  // end of the stream at the last read, own or shared
	readSent              ident.Instant // a read that ended there was sent at this instant or later
	inbox                 []message
	lateHeartbeats        []lateHeartbeat
	calls                 []transitCall  // calls on their way to the server or being answered
	seenFence             map[Key]uint64 // greatest fencing token that the server has seen
}

// message is a message between two daemons in transit.
type message struct {
	due     ident.Instant
	deliver func()
}

type pendingRead struct {
	storeRead
	sent ident.Instant
	due  ident.Instant
}

type simulation struct {
	t              *rapid.T
	mode           GrantMode
	cfg            Config
	now            ident.Instant
	store          store
	storeDownUntil ident.Instant // the store does not answer
	faultless      bool          // messages, reads and writes are neither lost nor delayed
	hosts          []*host
	lastFence      map[Key]uint64 // greatest fencing token with which a server held the key
	lastHolder     map[Key]ident.Host
}

// probeKeys are the keys that the simulation checks.
var probeKeys = []Key{0, 1, 9000, 16384, 20000, 30000, 32768, 45000, 50000, 65535}

func newSimulation(t *rapid.T, n int, cfg Config, mode GrantMode) *simulation {
	sim := &simulation{t: t, mode: mode, cfg: cfg, now: ident.Instant(time.Hour), store: newStore(), lastFence: map[Key]uint64{}, lastHolder: map[Key]ident.Host{}}
	for i := range n {
		h := &host{name: ident.Host(fmt.Sprint("h", i)), instance: roster.Instance{ID: fmt.Sprint("s", i), StartedMS: 1}, unreachableUntil: make(map[ident.Host]ident.Instant)}
		sim.hosts = append(sim.hosts, h)
		sim.startDaemon(h)
	}
	return sim
}

func (sim *simulation) startDaemon(h *host) {
	h.incarnation++
	h.agent = NewAgent(sim.cfg, ident.Member{Host: h.name, Incarnation: h.incarnation}, sim.now)
	h.agent.SetGrantMode(sim.mode)
	h.pendingReads = nil
	h.readNext, h.readSent = 0, 0
	h.nextReadAt = sim.now
}

func (h *host) isRunning(now ident.Instant) bool {
	return now >= h.stoppedUntil && now >= h.frozenUntil
}

// candidates returns the servers as one daemon sees them.
func (sim *simulation) candidates(from *host) []Candidate {
	var cs []Candidate
	for _, h := range sim.hosts {
		instance, _ := h.agent.Instance()
		cs = append(cs, Candidate{
			Owner: Owner{ident.Member{Host: h.name, Incarnation: h.incarnation}, instance},
			Ready: instance.ID != "" && !h.draining && sim.now >= h.heartbeatsLostUntil,
			Alive: h == from || h.isRunning(sim.now) && sim.reachable(from, h),
			Slots: 10, Evacuated: sim.now < h.evacuatedUntil,
		})
	}
	return cs
}

func (sim *simulation) advance() {
	sim.now = sim.now.Add(stepInterval)
	kept := sim.store.lateWrites[:0]
	for _, l := range sim.store.lateWrites {
		if sim.now < l.due {
			kept = append(kept, l)
			continue
		}
		sim.store.appendAt(l.write)
	}
	sim.store.lateWrites = kept
	for _, h := range sim.hosts {
		sim.expireHoldings(h)
		sim.processCalls(h)
		if h.isRunning(sim.now) {
			sim.deliverMessages(h)
			sim.deliverLateHeartbeats(h)
			sim.readStore(h)
			sim.exchangeSupport(h)
			sim.shareRead(h)
			sim.sendHeartbeat(h)
			sim.runPlanner(h)
			sim.sendCalls(h)
		}
	}
	sim.checkSingleHolder()
}

// send queues a message unless a partition blocks it. The message is lost if the
// receiving process has ended before it arrives.
func (sim *simulation) send(from, to *host, deliver func()) {
	if from != to && !sim.reachable(from, to) {
		return
	}
	delay := time.Duration(0)
	if !sim.faultless {
		delay = time.Duration(rapid.IntRange(0, 5).Draw(sim.t, "message delay")) * stepInterval
	}
	incarnation := to.incarnation
	to.inbox = append(to.inbox, message{sim.now.Add(delay), func() {
		if to.incarnation == incarnation {
			deliver()
		}
	}})
}

// reachable reports whether messages between two hosts arrive.
func (sim *simulation) reachable(a, b *host) bool {
	return sim.now >= a.isolatedUntil && sim.now >= b.isolatedUntil && sim.now >= a.unreachableUntil[b.name]
}

func (sim *simulation) deliverMessages(h *host) {
	messages := h.inbox
	h.inbox = nil
	for _, l := range messages {
		if l.due <= sim.now {
			l.deliver()
		} else {
			h.inbox = append(h.inbox, l)
		}
	}
}

// exchangeSupport asks the witnesses for support and sends this host's consents.
func (sim *simulation) exchangeSupport(h *host) {
	if (int64(sim.now)/int64(stepInterval))%3 != 0 {
		return
	}
	witnesses := h.agent.Witnesses()
	member, next, asked := h.agent.member, h.agent.NextOffset(), sim.now
	for _, g := range sim.hosts {
		if !slices.Contains(witnesses, g.name) {
			continue
		}
		sim.send(h, g, func() {
			if g.agent.GrantSupport(member, next, sim.now) {
				sim.send(g, h, func() { h.agent.RecordSupport(g.name, asked) })
			}
		})
	}
	for _, s := range h.agent.Consents(sim.now) {
		for _, to := range sim.hosts {
			sim.send(h, to, func() { to.agent.RecordConsent(h.name, s) })
		}
	}
}

func (sim *simulation) reachesStore(h *host) bool {
	return sim.now >= sim.storeDownUntil && sim.now >= h.isolatedUntil && sim.now >= h.storeUnreachableUntil
}

// readStore starts a read of the store every 500 ms; the answer arrives some steps
// later.
func (sim *simulation) readStore(h *host) {
	for len(h.pendingReads) > 0 && h.pendingReads[0].due <= sim.now {
		r := h.pendingReads[0]
		h.pendingReads = h.pendingReads[1:]
		r.apply(h.agent, r.sent, sim.now)
		if r.next > h.readNext || r.next == h.readNext && r.sent > h.readSent {
			h.readNext, h.readSent = r.next, r.sent
		}
	}
	if sim.now < h.nextReadAt || !sim.reachesStore(h) {
		return
	}
	h.nextReadAt = sim.now.Add(500 * time.Millisecond)
	delay := time.Duration(0)
	if !sim.faultless {
		delay = time.Duration(rapid.IntRange(0, 6).Draw(sim.t, "read delay")) * stepInterval
	}
	h.pendingReads = append(h.pendingReads, pendingRead{sim.store.readAt(sim.store.next()), sim.now, sim.now.Add(delay)})
}

// expireHoldings drops holdings that have expired by a clock that runs slow.
func (sim *simulation) expireHoldings(h *host) {
	kept := h.holdings[:0]
	for _, x := range h.holdings {
		if sim.now <= x.until {
			kept = append(kept, x)
		}
	}
	h.holdings = kept
}

func (sim *simulation) runPlanner(h *host) {
	write := h.agent.Tick(sim.now, sim.candidates(h))
	if write == nil {
		return
	}
	assert.Assert(sim.t, write.Table.Valid(), "rows overlap")
	if !sim.reachesStore(h) {
		h.agent.ApplyOutcome(*write, Refused, sim.now, sim.now)
		return
	}
	fate := 9
	if !sim.faultless {
		fate = rapid.IntRange(0, 9).Draw(sim.t, "write")
	}
	switch fate {
	case 0: // the write is appended, but its answer is lost
		sim.store.appendAt(*write)
		h.agent.ApplyOutcome(*write, Unclear, sim.now, sim.now)
	case 1: // the write arrives seconds later and is appended if its condition still holds
		due := sim.now.Add(time.Duration(rapid.IntRange(5, 60).Draw(sim.t, "late")) * stepInterval)
		sim.store.lateWrites = append(sim.store.lateWrites, lateWrite{*write, due})
		h.agent.ApplyOutcome(*write, Unclear, sim.now, sim.now)
	default:
		outcome := sim.store.appendAt(*write)
		if outcome == Written {
			sim.publish(h, *write)
		}
		h.agent.ApplyOutcome(*write, outcome, sim.now, sim.now)
	}
}

// publish sends a written table to the hosts that received keys by it.
func (sim *simulation) publish(from *host, write Write) {
	for _, name := range write.Table.Receivers(write.Offset) {
		for _, to := range sim.hosts {
			if to.name == name {
				sim.send(from, to, func() { to.agent.ApplyPublished(write.Table, write.Offset+1, sim.now) })
			}
		}
	}
}

func (sim *simulation) checkSingleHolder() {
	for _, k := range probeKeys {
		holder := ""
		for _, h := range sim.hosts {
			for _, x := range h.holdings {
				if !x.Contains(k) {
					continue
				}
				if holder != "" && holder != string(h.name) {
					sim.t.Fatalf("key %d is held by %s and %s", k, holder, h.name)
				}
				holder = string(h.name)
			}
		}
	}
}
