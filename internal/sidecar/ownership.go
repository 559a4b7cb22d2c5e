package sidecar

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/origin"
)

const (
	planInterval   = 100 * time.Millisecond // between two rounds in which the agents plan changes
	coalesceDelay  = 30 * time.Millisecond  // after a poll with entries, so that entries in quick succession are read together
	initialBackoff = 100 * time.Millisecond // delay after the first failed call to the store
	maxBackoff     = 800 * time.Millisecond // well within the 2 s in which servers with a lapsed lease must hold their keys again
	writeTimeout   = 2 * time.Second
)

// ownership keeps the ownership tables of all sharded services and runs a keyrange.Agent
// for each of them. It reads the tables from the store and from peers, passes heartbeats
// and time to the agents, and writes the tables that they decide on.
type ownership struct {
	cfg          keyrange.Config
	self         ident.Member
	clock        ident.Clock // also advances while the machine is suspended
	store        logservice.KeyedLog
	candidates   func(ident.Service) []keyrange.Candidate
	sendUpdate   func([]ident.Host, tableUpdate) // sends a table that was just written to hosts
	forwardRead  func([]ident.Host, readForward) // sends the records of a read to hosts
	pollTime     time.Duration                   // maximum wait of a poll if the service here is not sharded
	leasePoll    time.Duration                   // maximum wait of a poll that renews a lease
	log          *zap.Logger
	metrics      *metrics
	keysReleased chan struct{} // signals that a server released keys, so that the agents plan at once; capacity 1
	grantCaller  GrantCaller
	callsDue     chan struct{}                                  // signals that calls to the server may be due; capacity 1
	localServer  func(ident.Service) (s origin.Server, ok bool) // the server beside the daemon, if it runs the service

	mu            sync.Mutex // guards the fields below
	agents        map[ident.Service]*keyrange.Agent
	tables        map[ident.Service]versionedTable // newest known tables, from the store or a peer
	copies        map[ident.Service]copiedTable    // newest tables of earlier eras that the log still has
	readTable     map[ident.Service]versionedTable // tables at nextOffset, by reads of this daemon or its source; followers receive the changes of these
	nextOffset    ident.Offset                     // end of the stream at the last read
	synced        bool                             // all tables have been read since the last agent was added
	localService  ident.Service                    // service of the server beside the daemon
	cancelPoll    context.CancelFunc               // cancels the pending poll
	follower      *sharedread.Follower
	followers     map[ident.Host]ident.Instant        // when each follower last asked for this daemon's reads
	readSent      ident.Instant                       // a read that ended at nextOffset was sent at this instant or later; zero if unknown
	readDue       bool                                // a write was refused: this daemon must read by itself
	heartbeatSeq  uint32                              // sequence number of the last peer heartbeat
	heartbeatSent [rememberedHeartbeats]ident.Instant // when recent peer heartbeats were sent, by sequence number modulo the length
}

// versionedTable is an ownership table with the end of the stream right after it.
type versionedTable struct {
	keyrange.Table
	endOffset ident.Offset
}

// copiedTable is a table that was written in an earlier era of the log.
type copiedTable struct {
	keyrange.Table
	era uint64
}

// eraSeparator stands between service and era in the keys of the ownership stream.
const eraSeparator = "@"

// tableKey returns the key under which the tables of a service are written in an era. A
// write that is executed only after the log has come back from a copy thus changes no
// table of the later era.
func tableKey(s ident.Service, era uint64) string {
	if era == 0 {
		return string(s)
	}
	return string(s) + eraSeparator + strconv.FormatUint(era, 10)
}

// parseTableKey is the inverse of tableKey.
func parseTableKey(key string) (s ident.Service, era uint64) {
	if i := strings.LastIndex(key, eraSeparator); i >= 0 {
		if n, err := strconv.ParseUint(key[i+len(eraSeparator):], 10, 64); err == nil {
			return ident.Service(key[:i]), n
		}
	}
	return ident.Service(key), 0
}

// addAgents adds an agent for each sharded service that has none yet, and sets how the
// servers receive their grants.
func (o *ownership) addAgents(sharded []routes.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range sharded {
		if o.agents[s.Name] == nil {
			o.agents[s.Name] = keyrange.NewAgent(o.cfg, o.self, o.clock.Now())
			o.synced = false // read all tables again, for the new agent
		}
		mode := keyrange.GrantByHeartbeat
		if s.GrantByCall {
			mode = keyrange.GrantByCall
		}
		o.agents[s.Name].SetGrantMode(mode)
	}
}

func (o *ownership) isSharded(s ident.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents[s] != nil
}

// grantsByHeartbeat reports whether the servers of a service state their keys in heartbeats
// and receive their grants with the answers.
func (o *ownership) grantsByHeartbeat(s ident.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.GrantMode() == keyrange.GrantByHeartbeat
}

// handleHeartbeat passes a heartbeat of the server beside the daemon to the agent of its
// service and returns the grant, nil if nothing is renewed. If the server ran another
// service before, the agent of that service drops its keys. adoption numbers the instance.
func (o *ownership) handleHeartbeat(hb Heartbeat, adoption uint64) *keyrange.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.localService = hb.Service
	now := o.clock.Now()
	for s, a := range o.agents {
		if _, had := a.Instance(); had && s != hb.Service {
			a.ServerLost()
		}
	}
	a := o.agents[hb.Service]
	if a == nil {
		return nil
	}
	g := a.HandleHeartbeat(keyrange.Heartbeat{Instance: hb.Instance, Adoption: adoption, Sequence: hb.Sequence, Draining: hb.Draining, Held: hb.Held, Released: hb.Released}, now)
	o.requestCalls()
	if a.GrantMode() == keyrange.GrantByCall {
		return nil
	}
	o.metrics.countGrant(g != nil)
	if g == nil {
		o.log.Info("grant_withheld", zap.String("server", hb.Instance.ID), zap.Int64("sequence", hb.Sequence))
	}
	if len(hb.Released) > 0 {
		o.signalReleased()
	}
	return g
}

// signalReleased makes the agents plan at once.
func (o *ownership) signalReleased() {
	select {
	case o.keysReleased <- struct{}{}:
	default: // a signal is already pending
	}
}

// handleServerLost informs the agent of a service that its server was lost or will stop.
func (o *ownership) handleServerLost(s ident.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.ServerLost()
	}
}

// handleServerDraining informs the agent of a service that its server will stop soon.
func (o *ownership) handleServerDraining(s ident.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.ServerDraining()
	}
}

// mayServe reports whether the server beside the daemon may hold a key now.
func (o *ownership) mayServe(s ident.Service, k keyrange.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.MayHold(k, o.clock.Now())
}

func (o *ownership) recordServiceTime(s ident.Service, k keyrange.Key, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.RecordServiceTime(k, d)
	}
}

// ownerOf returns the row of a key in the newest known ownership table.
func (o *ownership) ownerOf(s ident.Service, k keyrange.Key) (keyrange.Row, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[s].Find(k)
}

// ownersOf returns the hosts that own keys of a service, and its witnesses.
func (o *ownership) ownersOf(s ident.Service) (owners map[ident.Host]bool, witnesses []ident.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owners = make(map[ident.Host]bool)
	for _, r := range o.tables[s].Rows {
		owners[r.Owner.Member.Host] = true
	}
	return owners, o.tables[s].Witnesses
}

// keyCount returns how many keys of a service a host owns.
func (o *ownership) keyCount(s ident.Service, h ident.Host) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[s].KeyCount(h)
}

// plan is the duty that lets the agents decide on changes of the tables, at a fixed
// interval and whenever a server has released keys.
func (o *ownership) plan(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-o.keysReleased:
		}
		o.planOnce(ctx)
	}
}

// planOnce runs one tick of each agent and writes the tables that they decide on.
func (o *ownership) planOnce(ctx context.Context) {
	for _, s := range o.services() {
		if !o.plansFor(s) {
			continue
		}
		if a, w := o.tick(s, o.candidates(s)); w != nil {
			o.writeTable(ctx, s, a, *w)
		}
	}
	o.requestCalls()
}

// tick runs one tick of the agent of a service.
func (o *ownership) tick(s ident.Service, cs []keyrange.Candidate) (*keyrange.Agent, *keyrange.Write) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a, a.Tick(o.clock.Now(), cs)
}

// plansFor reports whether this daemon takes part in the planning of a service: its server
// runs the service, or the table still names this host.
func (o *ownership) plansFor(s ident.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return s == o.localService || o.tables[s].KeyCount(o.self.Host) > 0
}

func (o *ownership) services() []ident.Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]ident.Service, 0, len(o.agents))
	for s := range o.agents {
		out = append(out, s)
	}
	return out
}

// writeTable appends a table to the stream and passes the outcome to the agent. After a
// successful write it sends the table to the hosts that receive keys; after a failed one
// it cancels the pending poll, so that the agent soon sees the current tables.
func (o *ownership) writeTable(ctx context.Context, s ident.Service, a *keyrange.Agent, w keyrange.Write) {
	data, err := codec.Marshal(w.Table)
	outcome, sent := keyrange.Refused, o.clock.Now()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		err = o.store.PutAt(ctx, logservice.OwnershipStream, w.Offset, tableKey(s, w.Offset.Era()), data)
		cancel()
		outcome = outcomeOf(err)
	}
	o.applyOutcome(s, a, w, outcome, sent)
	if outcome == keyrange.Written {
		o.sendUpdate(w.Table.Receivers(w.Offset), tableUpdate{Service: s, EndOffset: w.Offset + 1, Table: w.Table})
	}
	o.metrics.countWrite(w.Reason, outcome == keyrange.Written)
	o.log.Info("ownership_write", zap.String("service", string(s)), zap.String("reason", w.Reason),
		zap.Uint64("offset", uint64(w.Offset)), zap.Int("rows", len(w.Table.Rows)), zap.Int("bytes", len(data)),
		zap.Bool("written", outcome == keyrange.Written), zap.Error(err))
}

// applyOutcome passes the outcome of a write to the agent.
func (o *ownership) applyOutcome(s ident.Service, a *keyrange.Agent, w keyrange.Write, outcome keyrange.Outcome, sent ident.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.ApplyOutcome(w, outcome, sent, o.clock.Now())
	if outcome == keyrange.Written {
		o.replaceIfNewer(s, w.Table, w.Offset+1)
		return
	}
	o.readDue = true
	if o.cancelPoll != nil {
		o.cancelPoll()
	}
}

// outcomeOf maps the error of a conditional append to the outcome for the agent.
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
