package sidecar

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/core/relay"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

const (
	// maxReported limits the requests in one report.
	maxReported = 512
	// maxRecordAge limits the age of a record in a message, so that it can be subtracted from
	// an instant.
	maxRecordAge = 24 * time.Hour
)

// suspectReport tells other daemons of requests that were in progress when servers ended, and
// of requests that have been cleared since.
type suspectReport struct {
	Records []suspectRecord          `codec:"r"`
	Cleared []quarantine.Fingerprint `codec:"c"`
}

// suspectRecord is a quarantine.Record on the wire.
type suspectRecord struct {
	Fingerprint quarantine.Fingerprint `codec:"f"`
	Suspicion   int                    `codec:"n"`
	AgeMS       int64                  `codec:"a"` // time since the last crash, in milliseconds
}

// add adds records to the report, as of now.
func (m *suspectReport) add(records []quarantine.Record, now ident.Instant) {
	for _, r := range records {
		if len(m.Records) < maxReported {
			m.Records = append(m.Records, suspectRecord{r.Fingerprint, r.Suspicion, now.Sub(r.LastCrash).Milliseconds()})
		}
	}
}

// clear adds a cleared request to the report.
func (m *suspectReport) clear(f quarantine.Fingerprint) {
	m.Records = slices.DeleteFunc(m.Records, func(r suspectRecord) bool { return r.Fingerprint == f })
	if len(m.Cleared) < maxReported {
		m.Cleared = append(m.Cleared, f)
	}
}

// decode returns the records of the report with instants of the local clock.
func (m suspectReport) decode(now ident.Instant) []quarantine.Record {
	out := make([]quarantine.Record, 0, len(m.Records))
	for _, r := range m.Records {
		age := min(max(time.Duration(r.AgeMS)*time.Millisecond, 0), maxRecordAge)
		out = append(out, quarantine.Record{Fingerprint: r.Fingerprint, Suspicion: r.Suspicion, LastCrash: now.Add(-age)})
	}
	return out
}

func (m suspectReport) empty() bool { return len(m.Records) == 0 && len(m.Cleared) == 0 }

// sendSuspects sends the pending report to all daemons: directly, or with many daemons to
// those of this failure domain and to the relays of the others.
func (p *peers) sendSuspects() {
	m := p.suspects.takePending()
	if m.empty() {
		return
	}
	p.mu.Lock()
	direct := !p.usesRelays()
	relays := p.domainRelays()
	p.mu.Unlock()
	p.sendReport(m, func(q *roster.Peer) bool {
		return direct || q.Location == p.location || relay.IsRelay(relays, q.Member.Host, q.Location)
	})
}

func (p *peers) sendReport(m suspectReport, to func(*roster.Peer) bool) {
	for _, q := range p.selectPeers(to) {
		p.send(q, typeSuspects, m)
	}
}

// handleSuspects applies a report. A relay passes it on to its failure domain if it comes
// from another one.
func (p *peers) handleSuspects(from ident.Member, m suspectReport) {
	p.suspects.handleReport(m)
	p.mu.Lock()
	sender, known := p.roster.Get(from.Host)
	passOn := known && p.usesRelays() && sender.Location != p.location && relay.IsRelay(p.domainRelays(), p.self.Host, p.location)
	p.mu.Unlock()
	if passOn {
		p.sendReport(m, func(q *roster.Peer) bool { return q.Location == p.location })
	}
}

// handleConnected sends all that is known to a daemon that was connected with this one just
// now: it may have been started or cut off, and missed reports.
func (p *peers) handleConnected(m ident.Member) {
	p.sendDepartureNotices(m.Host)
	p.sendEvacuation(func(q *roster.Peer) bool { return q.Member.Host == m.Host })
	report := p.suspects.report()
	if report.empty() {
		return
	}
	p.sendReport(report, func(q *roster.Peer) bool { return q.Member.Host == m.Host })
}
