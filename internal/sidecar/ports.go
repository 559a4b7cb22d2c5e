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

// Adapter translates between the product and the platform it is deployed on.
type Adapter struct {
	HeaderNames      hop.Names
	Log              logservice.KeyedLog
	DecodeConfig     func(data []byte) (routes.Config, error)
	HeartbeatHandler func(ServerPort) fasthttp.RequestHandler
	ReadinessHandler func(ready func() bool) fasthttp.RequestHandler
}

// Heartbeat is one heartbeat of the backend server beside the daemon.
type Heartbeat struct {
	Instance roster.Instance
	Service  ident.Service
	Addr     string // host:port on which it serves requests
	Slots    int    // requests that it runs at once
	Draining bool
	ColdFor  time.Duration // time that it stays slow after its start
	Sequence int64         // grows with each heartbeat of one life
	Held     []keyrange.HeldRange
	Released []keyrange.ReleasedRange
}

// ServerPort receives what the backend server says.
type ServerPort interface {
	// HandleHeartbeat takes in a heartbeat. The grant is nil if nothing is renewed.
	HandleHeartbeat(r Heartbeat) *keyrange.Grant
	// HandleLeave takes in that the server with the id is about to stop.
	HandleLeave(id string)
	// HandleMalformed notes a heartbeat that could not be decoded.
	HandleMalformed(id string, err error)
}
