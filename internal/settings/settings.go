// Package settings loads and validates the settings of a daemon.
//
// Load returns the Settings of a stand-alone daemon from its defaults, a YAML file,
// environment variables and flags. LoadSidecar returns the Sidecar settings of a
// daemon on a platform, from its defaults and a YAML file. Both check the settings
// as a whole and report all problems at once, as an error of type Problems. Settings
// that are returned without an error are valid.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Settings holds the complete settings of one daemon.
type Settings struct {
	Host       Host        `yaml:"host"`
	Listen     Addresses   `yaml:"listen"`
	Advertise  Addresses   `yaml:"advertise"`
	LogService LogService  `yaml:"log_service"`
	Mesh       Mesh        `yaml:"mesh"`
	Admin      Admin       `yaml:"admin"`
	Lease      Lease       `yaml:"lease"`
	Limits     Limits      `yaml:"limits"`
	TenantKeys []TenantKey `yaml:"tenant_keys"`
	Telemetry  Telemetry   `yaml:"telemetry"`
	Shutdown   Shutdown    `yaml:"shutdown"`
	Usage      Usage       `yaml:"usage"`

	// CheckOnly is set by -check-settings. The daemon then only checks its settings
	// and exits.
	CheckOnly bool `yaml:"-"`
}

// Host identifies the machine that the daemon runs on and its location.
type Host struct {
	Name          ident.Host          `yaml:"name"`
	Region        ident.Region        `yaml:"region"`
	FailureDomain ident.FailureDomain `yaml:"failure_domain"`
}

// Addresses holds the daemon's four TCP addresses as host:port. A listen address may
// have port 0. If an advertised address is empty, the daemon advertises the address
// that it listens on.
type Addresses struct {
	Caller string `yaml:"caller"` // HTTP from callers
	Mesh   string `yaml:"mesh"`   // WebSocket from other daemons
	Local  string `yaml:"local"`  // HTTP from the backend server on this host
	Admin  string `yaml:"admin"`  // administration API
}

// LogService configures the access to the platform's log service.
type LogService struct {
	URL      string        `yaml:"url"`
	Timeout  time.Duration `yaml:"timeout"`   // for one call
	PollTime time.Duration `yaml:"poll_time"` // how long a read waits for a new record
}

// Mesh configures the security of the connections between daemons.
type Mesh struct {
	TLS       TLSFiles `yaml:"tls"`
	PlainText bool     `yaml:"plain_text"` // disables TLS
}

// Admin configures the security and the rate limit of the administration API.
type Admin struct {
	TLS           TLSFiles `yaml:"tls"`
	PlainText     bool     `yaml:"plain_text"`
	RatePerSecond float64  `yaml:"rate_per_second"`
	Burst         int      `yaml:"burst"`
}

// TLSFiles holds the paths of PEM files. The daemon reloads the files when they
// change.
type TLSFiles struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// Lease configures the timing of the lease protocol.
type Lease struct {
	TTL           time.Duration `yaml:"ttl"`
	RenewEvery    time.Duration `yaml:"renew_every"`
	DriftPerMille int           `yaml:"drift_per_mille"` // upper bound of a clock's drift, in 1/1000
	ClaimStagger  time.Duration `yaml:"claim_stagger"`   // additional delay of each successor after the first
}

// Limits bounds the resources of the daemon that callers may use.
type Limits struct {
	HeaderBytes    int           `yaml:"header_bytes"`
	HeaderTime     time.Duration `yaml:"header_time"`
	BodyTime       time.Duration `yaml:"body_time"`
	IdleTime       time.Duration `yaml:"idle_time"`
	Connections    int           `yaml:"connections"`
	QueuedRequests int           `yaml:"queued_requests"`
}

// TenantKey is a public key that verifies a tenant's first configuration.
type TenantKey struct {
	Name      string       `yaml:"name"`
	Tenant    ident.Tenant `yaml:"tenant"`
	PublicKey string       `yaml:"public_key"` // Ed25519, standard base64
}

// Ed25519 returns the decoded public key. ok is false if the key is malformed.
func (k TenantKey) Ed25519() (key ed25519.PublicKey, ok bool) {
	raw, err := base64.StdEncoding.DecodeString(k.PublicKey)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, false
	}
	return raw, true
}

// TraceExporter selects where spans are exported to.
type TraceExporter string

// The trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceOTLP   TraceExporter = "otlp"
)

// Telemetry configures logs, traces and metrics.
type Telemetry struct {
	LogLevel      string        `yaml:"log_level"` // debug, info, warn or error
	TraceExporter TraceExporter `yaml:"trace_exporter"`
	OTLPEndpoint  string        `yaml:"otlp_endpoint"` // URL, for the otlp exporter
	TraceRatio    float64       `yaml:"trace_ratio"`   // fraction of the traces started by this daemon that are sampled, 0 to 1
	Metrics       bool          `yaml:"metrics"`       // serve /metrics on the admin address
}

// Shutdown bounds the duration of a graceful shutdown.
type Shutdown struct {
	DrainTimeout time.Duration `yaml:"drain_timeout"`
}

// Usage configures the signed usage statements.
type Usage struct {
	StatementEvery time.Duration `yaml:"statement_every"`
}

// Default returns the settings that apply where the file sets none.
func Default() Settings {
	return Settings{
		Listen: Addresses{
			Caller: "127.0.0.1:8080",
			Mesh:   "127.0.0.1:8081",
			Local:  "127.0.0.1:8082",
			Admin:  "127.0.0.1:8083",
		},
		LogService: LogService{Timeout: 2 * time.Second, PollTime: 5 * time.Second},
		Admin:      Admin{RatePerSecond: 50, Burst: 100},
		Lease: Lease{
			TTL:           2400 * time.Millisecond,
			RenewEvery:    800 * time.Millisecond,
			DriftPerMille: 10,
			ClaimStagger:  300 * time.Millisecond,
		},
		Limits: Limits{
			HeaderBytes:    16 << 10,
			HeaderTime:     10 * time.Second,
			BodyTime:       60 * time.Second,
			IdleTime:       60 * time.Second,
			Connections:    10_000,
			QueuedRequests: 4096,
		},
		Telemetry: Telemetry{LogLevel: "info", TraceExporter: TraceNone, TraceRatio: 0.01, Metrics: true},
		Shutdown:  Shutdown{DrainTimeout: 30 * time.Second},
		Usage:     Usage{StatementEvery: 10 * time.Second},
	}
}
