package logserver

import (
	"encoding/json"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	pathStreams = "/v1/streams/"
	pathRecords = "/records"
	pathFaults  = "/v1/faults"
	pathStats   = "/v1/stats"

	maxReadLimit = 10_000
	maxReadWait  = 60 * time.Second
)

// appendRequest is the body of an append.
type appendRequest struct {
	Records [][]byte `json:"records"`
}

// appendAnswer is the answer to an append.
type appendAnswer struct {
	First uint64 `json:"first"`
}

// readAnswer is the answer to a read.
type readAnswer struct {
	Entries []Entry `json:"entries"`
}

type errorAnswer struct {
	Error string `json:"error"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, _, _ := strings.Cut(string(ctx.URI().PathOriginal()), "?")
	switch {
	case path == pathFaults:
		s.handleFaults(ctx)
	case path == pathStats:
		writeJSON(ctx, s.Stats())
	case strings.HasPrefix(path, pathStreams):
		s.handleStream(ctx, strings.TrimPrefix(path, pathStreams))
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		writeJSON(ctx, s.Faults())
		return
	}
	var u faultsUpdate
	if err := json.Unmarshal(ctx.PostBody(), &u); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if err := s.SetFaults(u.apply(s.Faults())); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if u.TruncateKeep != nil {
		s.Truncate(*u.TruncateKeep)
	}
	writeJSON(ctx, s.Faults())
}

func (s *Server) handleStream(ctx *fasthttp.RequestCtx, rest string) {
	f := s.Faults()
	s.sleep(f.slow())
	if f.Down {
		fail(ctx, fasthttp.StatusServiceUnavailable, "down")
		return
	}
	escaped, records := strings.CutSuffix(rest, pathRecords)
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" || strings.Contains(escaped, "/") {
		fail(ctx, fasthttp.StatusNotFound, "no such stream")
		return
	}
	st := s.store.stream(name)
	s.retain(st, f)
	switch {
	case !records && ctx.IsGet():
		writeJSON(ctx, st.bounds())
	case records && ctx.IsPost():
		s.handleAppend(ctx, st, f)
	case records && ctx.IsGet():
		s.handleRead(ctx, st)
	default:
		fail(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
	}
}

func (s *Server) handleAppend(ctx *fasthttp.RequestCtx, st *stream, f Faults) {
	var req appendRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if len(req.Records) == 0 {
		fail(ctx, fasthttp.StatusBadRequest, "no records")
		return
	}
	if s.hits(f.LoseRequests) {
		closeWithoutAnswer(ctx)
		return
	}
	first := st.append(req.Records, time.Now())
	s.retain(st, f)
	s.countAppend(req.Records)
	if s.hits(f.LoseAnswers) {
		closeWithoutAnswer(ctx)
		return
	}
	writeJSON(ctx, appendAnswer{First: first})
}

func (s *Server) countAppend(records [][]byte) {
	s.counts.appends.Add(1)
	s.counts.records.Add(uint64(len(records)))
	for _, r := range records {
		s.counts.bytesIn.Add(uint64(len(r)))
	}
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx, st *stream) {
	args := ctx.QueryArgs()
	from, err := args.GetUint("from")
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "from: "+err.Error())
		return
	}
	limit := min(args.GetUintOrZero("limit"), maxReadLimit)
	if limit == 0 {
		limit = maxReadLimit
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	entries, err := s.awaitEntries(st, uint64(from), limit, min(wait, maxReadWait))
	if err != nil {
		fail(ctx, fasthttp.StatusGone, err.Error())
		return
	}
	s.counts.reads.Add(1)
	for _, e := range entries {
		s.counts.bytesOut.Add(uint64(len(e.Data)))
	}
	writeJSON(ctx, readAnswer{Entries: entries})
}

// awaitEntries reads from an offset on and waits for the first entry.
func (s *Server) awaitEntries(st *stream, from uint64, limit int, wait time.Duration) ([]Entry, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.awaitReads()
		entries, grown, err := st.read(from, limit)
		if err != nil || len(entries) > 0 {
			return entries, err
		}
		select {
		case <-grown:
		case <-timeout.C:
			return []Entry{}, nil
		case <-s.closed:
			return []Entry{}, nil
		}
	}
}

// awaitReads blocks while reads are stalled.
func (s *Server) awaitReads() {
	for {
		f, changed := s.currentFaults()
		if !f.ReadStall {
			return
		}
		select {
		case <-changed:
		case <-s.closed:
			return
		}
	}
}

// closeWithoutAnswer ends the connection without a byte of an answer.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func fail(ctx *fasthttp.RequestCtx, status int, detail string) {
	ctx.SetStatusCode(status)
	writeJSON(ctx, errorAnswer{Error: detail})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
