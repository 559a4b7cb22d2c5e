package linkroom

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	mbps      = 10
	receivers = 7
	oneWay    = 4 * time.Millisecond
	tick      = time.Millisecond
	uploadFor = 110 * time.Millisecond // work on an upload that has arrived
	callFor   = 22 * time.Millisecond
)

// upload is one upload of the replay.
type upload struct {
	id       ID
	size     int
	sent     ident.Instant
	done     ident.Instant
	refused  bool
	lateness time.Duration // between the sending and the refusal
}

// message is something on the link: a short call, or bytes of an upload.
type message struct {
	at    ident.Instant // it reaches the link
	bytes int
	done  func(now ident.Instant)
}

// result counts what became of the calls and uploads of all receivers.
type result struct {
	calls, callsServed                           int
	uploads, inTarget, inDeadline, refused, late int
	maxRefusal                                   time.Duration
}

// replay runs seven receivers whose links pass one message after the other. Paced, an upload
// sends only what it was granted; else all of it at once, as its sender has credit for it.
func replay(uploadsPerSecond float64, paced bool) (res result) {
	const busy, end, deadline = 6700 * time.Millisecond, 14 * time.Second, 5 * time.Second
	for receiver := range receivers {
		rng := rand.New(rand.NewPCG(7, uint64(receiver)))
		room, rate := New(DefaultConfig(mbps), 0), BytesPerSecond(mbps)
		room.RecordWork("upload", uploadFor)
		var onWay, link []message
		var uploads []*upload
		byID := make(map[ID]*upload)
		send := func(u *upload, now ident.Instant, bytes int) {
			left := bytes
			for left > 0 {
				n := min(left, 16<<10)
				left -= n
				onWay = append(onWay, message{now, n, func(now ident.Instant) {
					u.size -= n
					room.Arrived(now, u.id, n)
					if u.size == 0 {
						u.done = now.Add(uploadFor)
					}
				}})
			}
		}
		var budget float64
		for now := ident.Instant(0); now < ident.Instant(end); now = now.Add(tick) {
			load := now < ident.Instant(busy)
			if load && rng.Float64() < uploadsPerSecond/receivers*tick.Seconds() {
				u := &upload{size: min(max(int(rng.ExpFloat64()*60e3), 8<<10), 360<<10), sent: now}
				uploads = append(uploads, u)
				onWay = append(onWay, message{now.Add(oneWay), 800, func(now ident.Instant) {
					if !paced {
						send(u, now, u.size)
						return
					}
					room.RecordOther(800)
					id, _, ok := room.Admit(now, Body{Size: u.size, Class: "upload", Target: u.sent.Add(1500 * time.Millisecond), Deadline: u.sent.Add(deadline)})
					u.id, u.refused, u.lateness = id, !ok, now.Add(oneWay).Sub(u.sent)
					byID[id] = u
				}})
			}
			if load && rng.Float64() < 176.0/receivers*tick.Seconds() {
				sent := now
				res.calls++
				onWay = append(onWay, message{now.Add(oneWay), 1000, func(now ident.Instant) {
					room.RecordOther(1000)
					if now.Add(callFor+oneWay).Sub(sent) <= 250*time.Millisecond {
						res.callsServed++
					}
				}})
			}
			grants, late, _ := room.Step(now)
			for _, g := range grants {
				send(byID[g.ID], now.Add(2*oneWay), g.Bytes)
			}
			for _, id := range late {
				byID[id].refused, byID[id].lateness = true, now.Add(oneWay).Sub(byID[id].sent)
			}
			waiting := onWay[:0:0]
			for _, m := range onWay {
				if m.at <= now {
					link = append(link, m)
				} else {
					waiting = append(waiting, m)
				}
			}
			onWay = waiting
			for budget += rate * tick.Seconds(); len(link) > 0 && budget >= float64(link[0].bytes); link = link[1:] {
				budget -= float64(link[0].bytes)
				link[0].done(now)
			}
			if len(link) == 0 {
				budget = 0
			}
		}
		for _, u := range uploads {
			res.uploads++
			took := u.done.Add(oneWay).Sub(u.sent)
			switch {
			case u.refused:
				res.refused++
				res.maxRefusal = max(res.maxRefusal, u.lateness)
			case u.done == 0 || took > deadline:
				res.late++
			case took <= 1500*time.Millisecond:
				res.inTarget++
				fallthrough
			default:
				res.inDeadline++
			}
		}
	}
	return res
}

// Seven receivers of 10 Mbit/s get uploads that take 0.7 and 1.65 of their links, and short
// calls of 250 ms.
func TestShortCallsPassUploads(t *testing.T) {
	for _, c := range []struct{ uploads, inTarget, served float64 }{{96, 0.99, 0.99}, {240, 0.6, 0.9}} {
		fifo, paced := replay(c.uploads, false), replay(c.uploads, true)
		t.Logf("%v uploads/s, as they come: %+v", c.uploads, fifo)
		t.Logf("%v uploads/s, paced: %+v", c.uploads, paced)
		assert.Equal(t, paced.callsServed, paced.calls)
		assert.Assert(t, float64(paced.inTarget) >= c.inTarget*float64(paced.uploads))
		assert.Assert(t, float64(paced.inDeadline) >= c.served*float64(paced.uploads))
		assert.Assert(t, paced.late == 0 && paced.maxRefusal < 50*time.Millisecond, "a failure is told at the head")
		assert.Assert(t, fifo.callsServed < paced.callsServed && fifo.inTarget <= paced.inTarget, "the replay does not call for pacing")
	}
}

// A sender that does not use its credit keeps the link from others for a short time only, and
// an urgent body goes before one that came first.
func TestOrderAndStaleSender(t *testing.T) {
	r := New(DefaultConfig(mbps), 0)
	far := ident.Instant(time.Minute)
	for _, priority := range []int{3, 2, 1} {
		_, _, ok := r.Admit(0, Body{Size: 100 << 10, Priority: priority, Deadline: far})
		assert.Assert(t, ok)
	}
	grants, _, next := r.Step(0)
	assert.Assert(t, next > 0 && len(grants) == 2 && grants[0].ID == 3 && grants[1].ID == 2, "%v", grants)
	stale := ident.Instant(DefaultConfig(mbps).StaleAfter + tick)
	grants, _, _ = r.Step(stale)
	assert.Assert(t, len(grants) == 1 && grants[0].ID == 1, "%v", grants)
	_, late, _ := r.Step(far)
	assert.Assert(t, len(late) == 3 && r.Wait(far) == 0, "%v", late)
}

// A sender in another region keeps the link busy although its credit takes 60 ms to be used.
func TestFarSenderFillsTheLink(t *testing.T) {
	r := New(DefaultConfig(mbps), 0)
	const size = 360 << 10
	id, _, ok := r.Admit(0, Body{Size: size, Deadline: ident.Instant(time.Minute)})
	assert.Assert(t, ok)
	var now ident.Instant
	atLink := make(map[ident.Instant]int) // bytes by the time at which they reach the link
	for left, waiting := size, 0; left > 0; now = now.Add(tick) {
		grants, _, _ := r.Step(now)
		for _, g := range grants {
			atLink[now.Add(60*time.Millisecond)] += g.Bytes
		}
		waiting += atLink[now]
		n := min(waiting, int(BytesPerSecond(mbps)*tick.Seconds()))
		waiting, left = waiting-n, left-n
		r.Arrived(now, id, n)
	}
	assert.Assert(t, now < ident.Instant(700*time.Millisecond), "%s", time.Duration(now))
}
