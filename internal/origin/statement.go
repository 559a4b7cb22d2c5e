package origin

import (
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// withStatement adds to an answer what its header states about the server. The header of
// an answer that is not valid may lack fields: it counts only for what it does state.
func (x *exchange) withStatement(a *hop.Answer, h *fasthttp.ResponseHeader) *hop.Answer {
	if x.namesOtherRequest(h) {
		return a
	}
	s := x.statement(h)
	valid := a.Failure == nil || a.Failure.Kind == errkind.BackendRefused || a.Failure.Kind == errkind.NotOwner
	if valid || s != (advisory.Statement{}) {
		a.Statement = &s
	}
	return a
}

// statement returns what the header of an answer states about the server.
func (x *exchange) statement(h *fasthttp.ResponseHeader) advisory.Statement {
	s := advisory.Statement{Leaving: headerValue(h, x.names.Leaving) == "1"}
	limit := headerValue(h, x.names.Limit)
	if limit == "" {
		return s
	}
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		s.InvalidLimit = limit
		return s
	}
	s.Limited, s.Limit = true, perSecond
	return s
}
