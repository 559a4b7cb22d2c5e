package settings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Sidecar holds the settings of a daemon that runs on a platform and discovers
// everything else through the platform's store. It has no tenant keys, no TLS and no
// administration address.
type Sidecar struct {
	Host       Host             `yaml:"host"`
	Service    ident.Service    `yaml:"service"` // of the backend server on this host
	Listen     SidecarAddresses `yaml:"listen"`
	Store      Store            `yaml:"store"`
	Ownership  Ownership        `yaml:"ownership"`
	Retries    Retries          `yaml:"retries"`
	Drain      Drain            `yaml:"drain"`
	Cold       Cold             `yaml:"cold"`
	Evacuation Evacuation       `yaml:"evacuation"`
	Resources  Resources        `yaml:"resources"`
	Calls      Calls            `yaml:"calls"`
	Room       Room             `yaml:"room"`
	Telemetry  Telemetry        `yaml:"telemetry"`
}

// SidecarAddresses holds the listen addresses of a sidecar daemon as host:port.
type SidecarAddresses struct {
	Caller  string `yaml:"caller"`  // HTTP from callers and from the backend server
	Mesh    string `yaml:"mesh"`    // WebSocket from other daemons
	Local   string `yaml:"local"`   // heartbeats of the backend server
	Ready   string `yaml:"ready"`   // readiness
	Metrics string `yaml:"metrics"` // metrics in the Prometheus text format
}

// Store configures the access to the platform's store.
type Store struct {
	Addr     string        `yaml:"addr"`
	PollTime time.Duration `yaml:"poll_time"` // how long a read waits for a new record

	// WatchPoll replaces PollTime for the reads of the configuration by the few
	// daemons that watch it on behalf of all. It is short because a read that an
	// outage of the store left unanswered is detected only after this wait.
	WatchPoll time.Duration `yaml:"watch_poll"`
}

// Ownership configures the timing of the protocol that assigns shard keys.
type Ownership struct {
	Lease         time.Duration `yaml:"lease"`           // how long grants rely on one read of the ownership table while witnesses support the owner
	Confirm       time.Duration `yaml:"confirm"`         // how long grants rely on one read of the ownership table without support
	Support       time.Duration `yaml:"support"`         // how long the support of a witness lasts
	LeasePoll     time.Duration `yaml:"lease_poll"`      // how long a read that renews the lease waits for a new record
	Hold          time.Duration `yaml:"hold"`            // longest duration of a grant
	DriftPerMille int           `yaml:"drift_per_mille"` // upper bound of a clock's drift, in 1/1000
	SuspectAfter  time.Duration `yaml:"suspect_after"`   // silence of an owner after which it is suspected
	Settle        time.Duration `yaml:"settle"`          // time after the start before keys without an owner are assigned
	SettleMax     time.Duration `yaml:"settle_max"`      // additional time if servers are expected that have not reported yet
	Stagger       time.Duration `yaml:"stagger"`         // delay between the planners, by rank
	BalanceEvery  time.Duration `yaml:"balance_every"`   // least time between two checks of the balance
	BalanceRest   time.Duration `yaml:"balance_rest"`    // time after a move in which neither its sender nor its receiver gives keys away
}

// Retries configures the retry budget that all daemons share.
type Retries struct {
	Window    time.Duration `yaml:"window"`
	Ratio     float64       `yaml:"ratio"`     // retries per request
	Allowance float64       `yaml:"allowance"` // additional retries per window
}

// Drain bounds how long a backend server and the daemon take to drain.
type Drain struct {
	ServerTime time.Duration `yaml:"server_time"` // how long a server may receive new requests after it announced that it drains
	GraceTime  time.Duration `yaml:"grace_time"`  // from SIGTERM until the platform kills the process
}

// Cold bounds the requests that a cold server gets in any second: the rate that its service
// tolerates times Factor, plus Slack.
type Cold struct {
	Factor float64 `yaml:"factor"`
	Slack  float64 `yaml:"slack"` // requests
}

// Calls are the requests that backend servers make while they run others.
type Calls struct {
	// Protect starts calls before new work, keeps room for them, and refuses new work whose
	// calls have no room.
	Protect bool `yaml:"protect"`
}

// Room is how many requests at once the backend server takes well.
type Room struct {
	Learn bool `yaml:"learn"` // admit by the room that its answers show, not by the announced slots alone
}

// Evacuation bounds how long the evacuation of a failure domain takes.
type Evacuation struct {
	ApplyTime time.Duration `yaml:"apply_time"` // from the order to the last request that reaches a server there
}

// Resources are what the host grants to the daemon's process. Zero means unknown.
type Resources struct {
	MemoryMB int     `yaml:"memory_mb"` // the process is killed above it
	LinkMbps float64 `yaml:"link_mbps"` // of the host's link, in each direction
	CPUShare float64 `yaml:"cpu_share"` // of one core

	UnreadTime time.Duration `yaml:"unread_time"` // a caller that takes nothing of its answer for this long is cut off
}

// DefaultSidecar returns the settings that apply where the file sets none.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Store: Store{
			PollTime:  20 * time.Second,
			WatchPoll: 1800 * time.Millisecond, // plus the timeout of a call, below the time allowed to reconnect after an outage
		},
		Ownership: Ownership{
			Lease:         12 * time.Second,        // longer than the outages of the store that the service must survive
			Confirm:       2500 * time.Millisecond, // allows a takeover within 5 s, including the suspicion that precedes it
			Support:       2500 * time.Millisecond, // five peer heartbeats
			LeasePoll:     1500 * time.Millisecond,
			Hold:          2600 * time.Millisecond, // three heartbeats of a backend server
			DriftPerMille: 20,                      // the maximum drift of a backend server's clock
			SuspectAfter:  1200 * time.Millisecond, // two missed peer heartbeats and the network delay
			Settle:        2 * time.Second,
			SettleMax:     3 * time.Second,        // with Settle, well before the callers begin
			Stagger:       300 * time.Millisecond, // longer than a round trip to the store in another region
			BalanceEvery:  time.Second,
			BalanceRest:   2500 * time.Millisecond, // the duration of a move, and as long again to observe its effect
		},
		Retries:    Retries{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50},
		Drain:      Drain{ServerTime: 2500 * time.Millisecond, GraceTime: 6 * time.Second},
		Cold:       Cold{Factor: 1},
		Evacuation: Evacuation{ApplyTime: 5 * time.Second},
		Resources:  Resources{UnreadTime: 10 * time.Second}, // longer than a caller's own pauses
		Telemetry:  Telemetry{LogLevel: "info", TraceExporter: TraceNone, TraceRatio: 0.01, Metrics: true},
	}
}

// LoadSidecar reads the settings file of a sidecar daemon. It returns Problems if
// the settings are invalid, or the error of reading the file.
func LoadSidecar(path string) (Sidecar, error) {
	s := DefaultSidecar()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	var problems, invalid Problems
	if err := Decode(data, &s); err != nil && !errors.As(err, &problems) {
		return s, err
	}
	if errors.As(s.Validate(), &invalid) {
		problems = mergeProblems(problems, invalid)
	}
	return s, problems.errOrNil()
}

// Validate checks the settings as a whole. It returns all problems found as
// Problems, or nil.
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
		{"ownership.hold", o.Hold}, {"ownership.suspect_after", o.SuspectAfter}, {"ownership.settle", o.Settle}, {"ownership.settle_max", o.SettleMax},
		{"ownership.stagger", o.Stagger}, {"ownership.balance_every", o.BalanceEvery}, {"ownership.balance_rest", o.BalanceRest},
		{"retries.window", s.Retries.Window}, {"drain.server_time", s.Drain.ServerTime}, {"drain.grace_time", s.Drain.GraceTime}, {"evacuation.apply_time", s.Evacuation.ApplyTime},
		{"resources.unread_time", s.Resources.UnreadTime},
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
	if s.Cold.Factor < 0 || s.Cold.Slack < 0 {
		p.add("cold.factor", "must not be negative, nor cold.slack")
	}
	if s.Resources.MemoryMB < 0 || s.Resources.LinkMbps < 0 || s.Resources.CPUShare < 0 {
		p.add("resources", "must not be negative")
	}
	Settings{Telemetry: s.Telemetry}.checkTelemetry(&p)
	return p.errOrNil()
}
