package backendserver

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/backend"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// grant is what the server knows of one slice.
type grant struct {
	epoch  ident.Epoch
	member ident.Member
	seq    uint64
	until  time.Time
}

// grantTable holds the fenced grants of a server. A grant counts from receipt on
// the monotonic clock, and no epoch ever goes back.
type grantTable struct {
	mu     sync.Mutex // guards grants
	grants map[ident.Slice]grant
}

func (t *grantTable) set(m backend.GrantMessage, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grants == nil {
		t.grants = map[ident.Slice]grant{}
	}
	until := now.Add(time.Duration(m.TTLMS) * time.Millisecond)
	for _, g := range m.Grants {
		s := ident.Slice{Service: g.Service, Index: g.Index}
		next := grant{epoch: g.Epoch, member: m.Member, seq: m.Seq, until: until}
		if next.follows(t.grants[s]) {
			t.grants[s] = next
		}
	}
}

// follows reports whether g may replace old: at a greater epoch, or as a later
// message of the same member.
func (g grant) follows(old grant) bool {
	if g.epoch != old.epoch {
		return g.epoch > old.epoch
	}
	return g.member == old.member && g.seq > old.seq
}

// check returns the reason to refuse a request, empty when it may run.
func (t *grantTable) check(s ident.Slice, e ident.Epoch, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.grants[s]
	switch {
	case !ok || e != g.epoch:
		return backend.RefusedStaleEpoch
	case now.After(g.until):
		return backend.RefusedLapsed
	default:
		return ""
	}
}

func (s *Server) handleGrants(c *fasthttp.RequestCtx) {
	var m backend.GrantMessage
	if err := json.Unmarshal(c.PostBody(), &m); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.grants.set(m, time.Now())
	c.SetStatusCode(fasthttp.StatusNoContent)
}

// sliceOf reads the slice and epoch of a keyed request.
func sliceOf(h *fasthttp.RequestHeader) (ident.Slice, ident.Epoch, bool) {
	index, err := strconv.ParseUint(string(h.Peek(backend.HeaderSlice)), 10, 32)
	if err != nil {
		return ident.Slice{}, 0, false
	}
	epoch, err := strconv.ParseUint(string(h.Peek(backend.HeaderEpoch)), 10, 64)
	if err != nil {
		return ident.Slice{}, 0, false
	}
	service := ident.Service(h.Peek(backend.HeaderService))
	return ident.Slice{Service: service, Index: uint32(index)}, ident.Epoch(epoch), true
}
