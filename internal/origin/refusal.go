package origin

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

const maxRefused = 64 // requests refused on one connection before it is closed

// mayHoldCopies reports whether a copy of an earlier answer may arrive on a connection that
// cannot be told from the answer to this request.
func mayHoldCopies(c *httpconn.Conn, r *hop.Request) bool {
	return c.Reused && (r.ID == "" || slices.Contains(c.Refused, r.ID))
}

// namesRequest reports whether an answer carries the id of the request, which may have none.
func (x *exchange) namesRequest(h *fasthttp.ResponseHeader) bool {
	return headerValue(h, x.names.RequestID) == x.req.ID
}

// refusal returns the failure for an answer which states that the server did not run
// the request.
func (x *exchange) refusal(h *fasthttp.ResponseHeader) *hop.Answer {
	if x.req.ID != "" {
		x.conn.Refused = append(x.conn.Refused, x.req.ID)
	}
	kind := errkind.BackendRefused
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest {
		kind = errkind.NotOwner
	}
	return hop.FailedAnswer(errkind.New(kind, "the backend server did not run the request: status %d", h.StatusCode()))
}
