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
	Names        hop.Names
	Log          logservice.KeyedLog
	DecodeConfig func(data []byte) (routes.Config, error)
	Heartbeats   func(ServerPort) fasthttp.RequestHandler
	Readiness    func(ready func() bool) fasthttp.RequestHandler
}

// Report is one heartbeat of the backend server beside the daemon.
type Report struct {
	Life     roster.Instance
	Service  ident.Service
	Addr     string // host:port on which it serves requests
	Slots    int    // requests that it runs at once
	Draining bool
	Cold     time.Duration // time that it stays slow after its start
	Sequence int64         // grows with each heartbeat of one life
	Held     []keyrange.HeldRange
	Freed    []keyrange.ReleasedRange
}

// ServerPort receives what the backend server says.
type ServerPort interface {
	// Report takes in a heartbeat. The grant is nil if nothing is renewed.
	Report(r Report) *keyrange.Grant
	// Leave takes in that the server with the id is about to stop.
	Leave(id string)
	// Malformed notes a heartbeat that could not be decoded.
	Malformed(id string, err error)
}
