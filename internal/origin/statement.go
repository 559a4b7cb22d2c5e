package origin

import (
	"math"
	"strconv"
	"strings"

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
	s := advisory.Statement{Leaving: headerValue(h, x.names.Leaving) == "1", Load: parseLoad(headerValue(h, x.names.Load))}
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

const (
	maxStatedCount  = 1 << 20 // of requests and slots in a load field
	maxStatedPace   = 10_000  // percent
	minLoadElements = 3
)

// parseLoad returns the load in a header field: the numbers of running and waiting requests and
// of slots, and in some services the time that work takes, in percent of the usual one. It
// returns zero for a field of another form. Further elements may be added to the field.
func parseLoad(field string) advisory.ServerLoad {
	parts := strings.Split(field, ",")
	if len(parts) < minLoadElements {
		return advisory.ServerLoad{}
	}
	var counts [minLoadElements]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 || n > maxStatedCount {
			return advisory.ServerLoad{}
		}
		counts[i] = n
	}
	l := advisory.ServerLoad{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(parts) > minLoadElements {
		percent, err := strconv.ParseFloat(strings.TrimSpace(parts[minLoadElements]), 64)
		if err == nil && percent > 0 && percent <= maxStatedPace {
			l.Pace = percent / 100
		}
	}
	return l
}
