package backendserver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/backend"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Header fields by which a request tells the stand-in what to do, and by which
// the answer can be checked.
const (
	HeaderWorkMS      = "X-Work-Ms"      // service time
	HeaderAnswerBytes = "X-Answer-Bytes" // length of the answer
	HeaderChunked     = "X-Chunked"      // answer in chunks
	HeaderSum         = "X-Sum"          // CRC-32 of the answer's body
	HeaderRun         = "X-Run"          // server and run that gave the answer
	HeaderKeyCount    = "X-Key-Count"    // requests that this server ran for the key
)

// Result is the body of an answer whose length was not asked for.
type Result struct {
	Server  string        `json:"server"`
	Service ident.Service `json:"service"`
	Key     string        `json:"key"`
	Epoch   ident.Epoch   `json:"epoch"`
	Count   uint64        `json:"count"`
	Body    int64         `json:"body_bytes"`
	BodySum uint32        `json:"body_sum"`
}

func refuse(c *fasthttp.RequestCtx, reason string) {
	c.Response.Header.Set(backend.HeaderRefused, reason)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// handleWork runs one request: refuse or take a slot, read the body, work,
// answer. Everything between the two journal events counts as running.
func (s *Server) handleWork(c *fasthttp.RequestCtx) {
	f := s.faults.get()
	if f.ShedAll {
		refuse(c, backend.RefusedShed)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		refuse(c, backend.RefusedShed)
		return
	}
	defer func() { <-s.slots }()
	slice, epoch, keyed := sliceOf(&c.Request.Header)
	if keyed && s.cfg.ChecksGrants {
		if reason := s.grants.check(slice, epoch, time.Now()); reason != "" {
			refuse(c, reason)
			return
		}
	}
	s.run(c, f, epoch)
}

func (s *Server) run(c *fasthttp.RequestCtx, f Faults, epoch ident.Epoch) {
	h := &c.Request.Header
	id := string(h.Peek(backend.HeaderRequestID))
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft(h))
	defer s.untrack(id, cancel)
	s.track(id, cancel)

	e := Event{
		Server:  s.cfg.Name,
		UnixNS:  time.Now().UnixNano(),
		Request: id,
		Token:   string(h.Peek("Idempotency-Key")),
		Service: ident.Service(h.Peek(backend.HeaderService)),
		Key:     string(h.Peek("Burdock-Key")),
		Epoch:   epoch,

		Traceparent: string(h.Peek("traceparent")),
	}
	if e.Key == "" {
		e.Key = pathSegment(string(c.Path()), 1)
	}
	e.Run = s.nextCount("")
	count := s.nextCount(string(e.Service) + "/" + e.Key)
	s.journal.Write(e)

	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, bodyOf(c))
	if want := int64(h.ContentLength()); err == nil && n < want {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = work(ctx, h, f)
	}
	result := Result{s.cfg.Name, e.Service, e.Key, epoch, count, n, sum.Sum32()}
	if err != nil {
		c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	} else {
		e.Answer = s.answer(c, result, f)
	}
	e.End = true
	e.UnixNS = time.Now().UnixNano()
	c.Response.Header.Set(HeaderRun, fmt.Sprintf("%s/%d", s.cfg.Name, e.Run))
	c.Response.Header.Set(HeaderKeyCount, strconv.FormatUint(count, 10))
	s.journal.Write(e)
}

func bodyOf(c *fasthttp.RequestCtx) io.Reader {
	if b := c.RequestBodyStream(); b != nil {
		return b
	}
	return strings.NewReader("")
}

func timeLeft(h *fasthttp.RequestHeader) time.Duration {
	const whenUnset = time.Hour
	ms, err := strconv.ParseInt(string(h.Peek(backend.HeaderDeadlineMS)), 10, 64)
	if err != nil {
		return whenUnset
	}
	return time.Duration(ms) * time.Millisecond
}

// work waits for the service time that the request asks for.
func work(ctx context.Context, h *fasthttp.RequestHeader, f Faults) error {
	ms, _ := strconv.ParseFloat(string(h.Peek(HeaderWorkMS)), 64)
	d := time.Duration(ms*float64(time.Millisecond)) + time.Duration(f.StallMS)*time.Millisecond
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answer sets the body and its checksum and returns the body's length.
func (s *Server) answer(c *fasthttp.RequestCtx, r Result, f Faults) int64 {
	body, err := json.Marshal(r)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return 0
	}
	if want, err := strconv.Atoi(string(c.Request.Header.Peek(HeaderAnswerBytes))); err == nil {
		body = filler(want, uint32(r.Count))
	}
	c.Response.Header.Set(HeaderSum, strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10))
	chunked := len(c.Request.Header.Peek(HeaderChunked)) > 0
	switch {
	case f.CutAnswers:
		s.cutAnswer(c, body, chunked)
	case chunked:
		c.SetBodyStreamWriter(func(w *bufio.Writer) { _, _ = w.Write(body) })
	default:
		c.Response.SetBodyRaw(body)
	}
	return int64(len(body))
}

// cutAnswer sends a header and half of the body, then closes the connection.
func (s *Server) cutAnswer(c *fasthttp.RequestCtx, body []byte, chunked bool) {
	size := len(body)
	if chunked {
		size = -1
	}
	c.SetBodyStream(&cutReader{data: body[:len(body)/2]}, size)
}

// cutReader fails after its data.
type cutReader struct{ data []byte }

// Read returns io.ErrUnexpectedEOF after the data.
func (r *cutReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// filler returns n bytes that depend on a seed.
func filler(n int, seed uint32) []byte {
	const (
		multiplier = 1664525
		increment  = 1013904223
	)
	b := make([]byte, n)
	for i := range b {
		seed = seed*multiplier + increment
		b[i] = byte(seed >> 24)
	}
	return b
}
