package callerport

import "github.com/valyala/fasthttp"

// Retire makes each further answer close its connection, so that callers move to other
// daemons before Shutdown closes the idle connections. The port continues to serve
// requests.
func (p *Port) Retire() { p.retiring.Store(true) }

// closeIfRetiring makes the connection close after the answer if Retire was called.
func (p *Port) closeIfRetiring(fctx *fasthttp.RequestCtx) {
	if p.retiring.Load() {
		fctx.SetConnectionClose()
	}
}
