package hop

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/linkroom"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// errLinkLate ends the body of a request that cannot arrive in time any more.
var errLinkLate = errors.New("hop: the link has no room for the body before the deadline")

// LinkRoom lets the long bodies of other daemons come over the slow link of this host, in the
// order that package linkroom decides. A nil LinkRoom lets all bodies come as they do. It is
// safe for concurrent use.
type LinkRoom struct {
	clock    ident.Clock
	received func() uint64 // bytes that the mesh has received

	mu      sync.Mutex // guards the fields below
	room    *linkroom.Room
	bodies  map[linkroom.ID]mesh.PacedBody
	timer   *time.Timer // of the next step; nil until the first
	arrived uint64      // bytes of paced bodies
	other   uint64      // bytes that were recorded as other traffic
	counts  LinkCounts
}

// LinkCounts counts the bodies of requests that the link had no room for.
type LinkCounts struct {
	Refused int64 // at their head
	Late    int64 // after they were admitted
}

// NewLinkRoom returns the room of a link of so many Mbit/s, or nil if that is unknown or fast
// enough for all bodies. received returns the bytes that the mesh has received.
func NewLinkRoom(mbps float64, received func() uint64, c ident.Clock) *LinkRoom {
	if linkroom.UnpacedBytes(mbps) == 0 {
		return nil
	}
	return &LinkRoom{
		clock: c, received: received, bodies: make(map[linkroom.ID]mesh.PacedBody),
		room: linkroom.New(linkroom.DefaultConfig(mbps), c.Now()),
	}
}

// Wait returns how long a body that comes now waits for those before it.
func (l *LinkRoom) Wait() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.room.Wait(l.countOther())
}

// countOther records the bytes that have come beside paced bodies, and returns the time. The
// caller holds l.mu.
func (l *LinkRoom) countOther() ident.Instant {
	if all := l.received(); all > l.arrived+l.other {
		l.room.RecordOther(int(all - l.arrived - l.other))
		l.other = all - l.arrived
	}
	return l.clock.Now()
}

// Counts returns the bodies that were refused until now.
func (l *LinkRoom) Counts() LinkCounts {
	if l == nil {
		return LinkCounts{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// RecordWork records how long the backend server worked on a request whose body came here.
func (l *LinkRoom) RecordWork(route string, d time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room.RecordWork(route, d)
}

// open admits a body and returns the reader of it. The caller closes the reader when it has
// read the body. The error says that the body cannot come in time; none of it has been sent.
func (l *LinkRoom) open(body io.Reader, b linkroom.Body) (io.ReadCloser, *errkind.Error) {
	paced, ok := body.(mesh.PacedBody)
	if l == nil || !ok {
		return io.NopCloser(body), nil
	}
	l.mu.Lock()
	id, retryAfter, ok := l.room.Admit(l.countOther(), b)
	if !ok {
		l.counts.Refused++
		l.mu.Unlock()
		e := errkind.New(errkind.Overloaded, "the link has no room for a body of %d bytes", b.Size)
		e.RetryAfter = retryAfter
		return nil, e
	}
	l.bodies[id] = paced
	l.mu.Unlock()
	l.step()
	return &linkBody{link: l, id: id, body: paced}, nil
}

// step grants credit and ends the bodies that are late.
func (l *LinkRoom) step() {
	l.mu.Lock()
	grants, late, next := l.room.Step(l.countOther())
	granted, ended := make([]mesh.PacedBody, len(grants)), make([]mesh.PacedBody, len(late))
	for i, g := range grants {
		granted[i] = l.bodies[g.ID]
	}
	for i, id := range late {
		ended[i] = l.bodies[id]
		delete(l.bodies, id)
	}
	l.counts.Late += int64(len(late))
	l.wake(next)
	l.mu.Unlock()
	for i, b := range granted {
		b.Grant(grants[i].Bytes)
	}
	for _, b := range ended {
		b.StopBody(errLinkLate)
	}
}

// wake sets the timer of the next step; zero stops it. The caller holds l.mu.
func (l *LinkRoom) wake(after time.Duration) {
	switch {
	case l.timer == nil && after > 0:
		l.timer = time.AfterFunc(after, l.step)
	case l.timer != nil && after > 0:
		l.timer.Reset(after)
	case l.timer != nil:
		l.timer.Stop()
	}
}

// linkBody is the reader of an admitted body.
type linkBody struct {
	link *LinkRoom
	id   linkroom.ID
	body mesh.PacedBody
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.link.mu.Lock()
	b.link.arrived += uint64(n)
	b.link.room.Arrived(b.link.clock.Now(), b.id, n)
	b.link.mu.Unlock()
	if n > 0 {
		b.link.step()
	}
	return n, err
}

// Close ends the place of the body in the order, if it has not arrived.
func (b *linkBody) Close() error {
	b.link.mu.Lock()
	b.link.room.Remove(b.id)
	delete(b.link.bodies, b.id)
	b.link.mu.Unlock()
	return nil
}
