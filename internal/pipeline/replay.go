package pipeline

import (
	"errors"
	"io"
	"sync"
)

// replayLimit is the number of bytes of a body that are buffered so that an attempt
// can be repeated.
const replayLimit = 64 << 10

var errStaleBody = errors.New("pipeline: the body belongs to a later attempt")

// replayableBody lets several attempts read a body from its start, as long as no
// more than replayLimit bytes have been read. Only the newest attempt may read.
type replayableBody struct {
	mu         sync.Mutex // guards all fields
	source     io.Reader
	buffered   []byte // all bytes read so far, unless overflowed
	overflowed bool   // more than replayLimit bytes were read
	newest     *attemptBody
}

func newReplayableBody(source io.Reader) *replayableBody { return &replayableBody{source: source} }

// nextAttempt returns the body for the next attempt, or false if the start of the
// body is no longer buffered. It waits for a running Read of the attempt before,
// whose bytes are buffered too.
func (p *replayableBody) nextAttempt() (io.Reader, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overflowed {
		return nil, false
	}
	p.newest = &attemptBody{replay: p}
	return p.newest, true
}

// rewindable reports whether another attempt can read the body from its start.
func (p *replayableBody) rewindable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.overflowed
}

// attemptBody is the reader of one attempt.
type attemptBody struct {
	replay *replayableBody
	pos    int // offset in the body of the next byte to read
}

func (a *attemptBody) Read(b []byte) (int, error) {
	p := a.replay
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest != a {
		return 0, errStaleBody
	}
	if a.pos < len(p.buffered) {
		n := copy(b, p.buffered[a.pos:])
		a.pos += n
		return n, nil
	}
	n, err := p.source.Read(b)
	p.buffer(b[:n])
	a.pos += n
	return n, err
}

// buffer appends b to the buffered bytes, or discards them all when they exceed
// replayLimit.
func (p *replayableBody) buffer(b []byte) {
	if p.overflowed {
		return
	}
	if len(p.buffered)+len(b) > replayLimit {
		p.overflowed = true
		p.buffered = nil
		return
	}
	p.buffered = append(p.buffered, b...)
}
