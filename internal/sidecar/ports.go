package sidecar

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// Adapter adapts the daemon to the platform that it is deployed on.
type Adapter struct {
	HeaderNames  hop.HeaderNames
	Log          logservice.KeyedLog // the store of configurations, hosts and ownership tables
	Grants       GrantCaller         // grants keys to servers that do not receive them with the answers to heartbeats
	DecodeConfig func(data []byte) (routes.Config, error)

	// DecodeEvacuation decodes a record of the operators' stream that evacuates a failure
	// domain or takes it back; ok is false if the record concerns no evacuation.
	DecodeEvacuation func(key string, value []byte) (d ident.FailureDomain, evacuate, ok bool, err error)

	HeartbeatHandler func(ServerPort) fasthttp.RequestHandler        // receives the backend server's messages
	ReadinessHandler func(ready func() bool) fasthttp.RequestHandler // answers readiness probes
}

// Heartbeat is one heartbeat of the backend server beside the daemon.
type Heartbeat struct {
	Instance roster.Instance
	Service  ident.Service
	Addr     string // host:port on which it serves requests
	Slots    int    // number of requests that it runs at once
	Draining bool
	ColdFor  time.Duration // how much longer it stays slow after its start
	Sequence int64         // increases with each heartbeat of one instance

	ListsKeys bool                     // Held and Released are stated; a missing list is no empty one
	Held      []keyrange.HeldRange     // keys that the server holds
	Released  []keyrange.ReleasedRange // keys that it has released
}

// ServerPort receives the messages of the backend server.
type ServerPort interface {
	// HandleHeartbeat processes a heartbeat and returns the grant of the server's keys,
	// nil if nothing is renewed. One that is not accepted has no effect, so that what it
	// announces must not be acknowledged.
	HandleHeartbeat(hb Heartbeat) (g *keyrange.Grant, accepted bool)
	// HandleLeave processes the notice that the server with the given id will stop soon.
	HandleLeave(id string)
	// HandleMalformed logs a heartbeat that could not be decoded.
	HandleMalformed(id string, err error)
}
