package settings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Sidecar are the settings of a daemon that finds everything else through the
// platform's store: no tenants' keys, no TLS, no administration port.
type Sidecar struct {
	Host      Host             `yaml:"host"`
	Service   ident.Service    `yaml:"service"` // of the backend server on this host
	Listen    SidecarAddresses `yaml:"listen"`
	Store     Store            `yaml:"store"`
	Ownership Ownership        `yaml:"ownership"`
	Retries   Retries          `yaml:"retries"`
	Drain     Drain            `yaml:"drain"`
	Telemetry Telemetry        `yaml:"telemetry"`
}

// SidecarAddresses are the addresses of a sidecar daemon as host:port.
type SidecarAddresses struct {
	Caller  string `yaml:"caller"`  // HTTP from callers and from the backend server
	Mesh    string `yaml:"mesh"`    // WebSocket from other daemons
	Local   string `yaml:"local"`   // heartbeats of the backend server
	Ready   string `yaml:"ready"`   // readiness
	Metrics string `yaml:"metrics"` // metrics in the Prometheus text format
}

// Store is the platform's store.
type Store struct {
	Addr     string        `yaml:"addr"`
	PollTime time.Duration `yaml:"poll_time"` // a read waits this long for a new record

	// WatchPoll is the wait of the few daemons that watch the configuration for all:
	// a read that an outage of the store has swallowed is noticed after it.
	WatchPoll time.Duration `yaml:"watch_poll"`
}

// Ownership sets the times of the ownership of shard keys.
type Ownership struct {
	Lease         time.Duration `yaml:"lease"`      // how long a read of the table covers grants with the guards' support
	Confirm       time.Duration `yaml:"confirm"`    // and how long without it
	Support       time.Duration `yaml:"support"`    // how long a guard's support lasts
	LeasePoll     time.Duration `yaml:"lease_poll"` // wait of the reads that renew it
	Hold          time.Duration `yaml:"hold"`       // how long a grant lasts
	DriftPerMille int           `yaml:"drift_per_mille"`
	SuspectAfter  time.Duration `yaml:"suspect_after"`
	Settle        time.Duration `yaml:"settle"`
	Stagger       time.Duration `yaml:"stagger"`
	BalanceEvery  time.Duration `yaml:"balance_every"` // between two looks at the balance
	BalanceRest   time.Duration `yaml:"balance_rest"`  // after a move, at both ends
}

// Retries is the budget of repeats that all daemons share.
type Retries struct {
	Window    time.Duration `yaml:"window"`
	Ratio     float64       `yaml:"ratio"`     // repeats a request
	Allowance float64       `yaml:"allowance"` // repeats in a window besides
}

// Drain bounds the end of a backend server's service and of the daemon.
type Drain struct {
	ServerTime time.Duration `yaml:"server_time"` // new work after a server said that it leaves
	GraceTime  time.Duration `yaml:"grace_time"`  // until the process is killed after SIGTERM
}

// DefaultSidecar returns the settings that hold where the file says nothing.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Store: Store{
			PollTime:  20 * time.Second,
			WatchPoll: 1800 * time.Millisecond, // with the timeout of a call, within the time to regain touch
		},
		Ownership: Ownership{
			Lease:         12 * time.Second,        // longer than the outages of the store that must be borne
			Confirm:       2500 * time.Millisecond, // with the suspicion before it, a takeover within 5 s
			Support:       2500 * time.Millisecond, // five pulses
			LeasePoll:     1500 * time.Millisecond,
			Hold:          2600 * time.Millisecond, // three heartbeats
			DriftPerMille: 20,                      // the greatest drift of a backend server's clock
			SuspectAfter:  1200 * time.Millisecond, // two missed pulses, and the way
			Settle:        2 * time.Second,
			Stagger:       300 * time.Millisecond, // above a round trip to the store between regions
			BalanceEvery:  time.Second,
			BalanceRest:   2500 * time.Millisecond, // a move, and as long again to see what it did
		},
		Retries:   Retries{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50},
		Drain:     Drain{ServerTime: 2500 * time.Millisecond, GraceTime: 6 * time.Second},
		Telemetry: Telemetry{LogLevel: "info", TraceExporter: TraceNone, TraceRatio: 0.01, Metrics: true},
	}
}

// LoadSidecar reads the settings file of a sidecar daemon. It returns Problems if
// the settings have faults, or an error of reading the file.
func LoadSidecar(path string) (Sidecar, error) {
	s := DefaultSidecar()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	var problems, faults Problems
	if err := Decode(data, &s); err != nil && !errors.As(err, &problems) {
		return s, err
	}
	if errors.As(s.Validate(), &faults) {
		problems = merge(problems, faults)
	}
	return s, problems.err()
}

// Validate checks the settings as a whole and returns all faults as Problems.
func (s Sidecar) Validate() error {
	var p Problems
	Settings{Host: s.Host}.checkHost(&p)
	checkName(&p, "service", string(s.Service))
	for _, l := range []struct{ path, addr string }{
		{"listen.caller", s.Listen.Caller}, {"listen.mesh", s.Listen.Mesh}, {"listen.local", s.Listen.Local},
		{"listen.ready", s.Listen.Ready}, {"listen.metrics", s.Listen.Metrics}, {"store.addr", s.Store.Addr},
	} {
		checkAddr(&p, l.path, l.addr, false)
	}
	o := s.Ownership
	for _, d := range []struct {
		path string
		d    time.Duration
	}{
		{"store.poll_time", s.Store.PollTime}, {"store.watch_poll", s.Store.WatchPoll}, {"ownership.lease", o.Lease}, {"ownership.confirm", o.Confirm}, {"ownership.support", o.Support}, {"ownership.lease_poll", o.LeasePoll},
		{"ownership.hold", o.Hold}, {"ownership.suspect_after", o.SuspectAfter}, {"ownership.settle", o.Settle},
		{"ownership.stagger", o.Stagger}, {"ownership.balance_every", o.BalanceEvery}, {"ownership.balance_rest", o.BalanceRest},
		{"retries.window", s.Retries.Window}, {"drain.server_time", s.Drain.ServerTime}, {"drain.grace_time", s.Drain.GraceTime},
	} {
		checkDuration(&p, d.path, d.d)
	}
	if o.LeasePoll > 0 && o.Lease < minRenewalsPerLease*o.LeasePoll {
		p.add("ownership.lease_poll", "must be at most a third of ownership.lease")
	}
	if o.Confirm > o.Lease || o.Support > o.Lease {
		p.add("ownership.lease", "must be at least ownership.confirm and ownership.support")
	}
	if o.DriftPerMille < 0 || o.DriftPerMille > 500 {
		p.add("ownership.drift_per_mille", "must be from 0 to 500")
	}
	if s.Retries.Ratio < 0 || s.Retries.Allowance < 0 {
		p.add("retries.ratio", "must not be negative, nor retries.allowance")
	}
	Settings{Telemetry: s.Telemetry}.checkTelemetry(&p)
	return p.err()
}
