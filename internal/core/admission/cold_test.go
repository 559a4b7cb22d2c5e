package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// coldDomain replays the requests of 60 daemons to the servers of a failure domain that
// become cold at the instant coldAt, which the daemons beside them learn told later. It
// returns the starts at each server.
type coldDomain struct {
	perDaemon float64 // requests per second that each of 60 daemons sends to each server
	bound     admission.ColdBound
	coldFor   time.Duration // zero: the daemons beside the servers do not bound them
	told      time.Duration
	suspected time.Duration // when they learn that the servers may be cold; zero: not
}

const (
	coldServers = 4
	coldAt      = ident.Instant(time.Hour + 2*time.Second)
)

func (d coldDomain) replay(seed uint64) (starts [coldServers][]ident.Instant) {
	random := rand.New(rand.NewPCG(seed, 7))
	for i := range coldServers {
		core := admission.New(admission.DefaultConfig(18))
		core.SetCold(d.bound, 0, ident.Instant(time.Hour))
		ends := make(map[admission.ID]ident.Instant)
		var last admission.ID
		for ms := range 9000 {
			now := ident.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
			apply := func(cmds []admission.Command) {
				for _, c := range cmds {
					if s, ok := c.(admission.Start); ok {
						starts[i] = append(starts[i], now)
						ends[s.ID] = now.Add(80 * time.Millisecond)
					}
				}
			}
			for id, end := range ends {
				if end <= now {
					delete(ends, id)
					apply(core.Finish(id, now))
				}
			}
			if now == coldAt.Add(d.suspected) && d.suspected > 0 {
				core.SuspectCold(now.Add(time.Second), now)
			}
			if now == coldAt.Add(d.told) && d.coldFor > 0 {
				apply(core.SetCold(d.bound, coldAt.Add(d.coldFor), now))
			}
			for range 60 {
				if random.Float64() < d.perDaemon/1000 {
					last++
					apply(core.Arrive(admission.Arrival{ID: last, Class: "c", Deadline: now.Add(1500 * time.Millisecond)}, now))
				}
			}
			if ms%50 == 0 {
				apply(core.Tick(now))
			}
		}
	}
	return starts
}

// between returns the starts from one instant to another.
func between(starts []ident.Instant, from, to ident.Instant) (out []ident.Instant) {
	for _, s := range starts {
		if s >= from && s < to {
			out = append(out, s)
		}
	}
	return out
}

// The servers of a domain came back cold all at once, and each got in a second whatever the
// other daemons sent it. Every second must keep the bound, also the one in which the daemon
// beside the server had not been told, the rate must be used to the full, and the end of the
// cold time must bring no rush.
func TestDomainThatComesBackColdKeepsItsBound(t *testing.T) {
	for _, d := range []coldDomain{
		{perDaemon: 1.5, bound: admission.ColdBound{Rate: 13, PerSecond: 27.5}, coldFor: 4 * time.Second},
		{perDaemon: 0.4, bound: admission.ColdBound{Rate: 13, PerSecond: 27.5}, coldFor: 4 * time.Second, told: 400 * time.Millisecond},
		{perDaemon: 1, bound: admission.ColdBound{Rate: 13, PerSecond: 27.5}, coldFor: 4 * time.Second, told: 870 * time.Millisecond, suspected: 150 * time.Millisecond},
		{perDaemon: 0.8, bound: admission.ColdBound{Rate: 8.2, PerSecond: 8.2}, coldFor: 3 * time.Second},
		{perDaemon: 0.3, bound: admission.ColdBound{Rate: 1.2, PerSecond: 9.8}, coldFor: 4 * time.Second},
	} {
		for seed := range uint64(3) {
			warm := coldAt.Add(d.coldFor)
			for _, all := range d.replay(seed) {
				cold := between(all, coldAt, warm)
				most := maxStarts(cold, time.Second)
				assert.Assert(t, float64(most) <= d.bound.PerSecond, "%+v: %d starts in a second", d, most)
				assert.Assert(t, float64(len(cold)) >= 0.85*d.bound.Rate*(d.coldFor-time.Second).Seconds(), "%+v: %d starts while cold", d, len(cold))
				rush := len(between(all, warm, warm.Add(250*time.Millisecond)))
				assert.Assert(t, float64(rush) <= 0.75*d.bound.Rate+1, "%+v: %d starts right after", d, rush)
				served, demand := len(between(all, warm.Add(1500*time.Millisecond), warm.Add(2500*time.Millisecond))), 60*d.perDaemon
				assert.Assert(t, float64(served) > 0.6*demand, "%+v: %d starts in a second at a warm server, %g are demanded", d, served, demand)
			}
			d.coldFor = 0
			for _, all := range d.replay(seed) {
				most := maxStarts(between(all, coldAt, warm), time.Second)
				assert.Assert(t, d.told > 0 || float64(most) > d.bound.PerSecond, "%+v: without the bound %d starts in a second", d, most)
			}
			d.coldFor = warm.Sub(coldAt)
		}
	}
}

// A service without a rate, or one whose server is not cold, is served as before; what the
// server states itself binds while it is cold, too.
func TestColdBoundAndStatedLimitCombine(t *testing.T) {
	now := ident.Instant(time.Hour)
	starts := func(stated, rate float64, until ident.Instant) (n int) {
		core := admission.New(admission.DefaultConfig(18))
		core.SetCold(admission.ColdBound{Rate: rate, PerSecond: 2 * rate}, until, now)
		core.SetLimit(stated, now)
		for ms := range 1000 {
			at := now.Add(time.Duration(ms) * time.Millisecond)
			for _, c := range core.Arrive(admission.Arrival{ID: admission.ID(ms + 1), Class: "c", Deadline: at.Add(time.Second)}, at) {
				if s, ok := c.(admission.Start); ok {
					n++
					core.Finish(s.ID, at)
				}
			}
		}
		return n
	}
	cold := now.Add(time.Minute)
	assert.Equal(t, starts(0, 0, cold), 1000)
	assert.Equal(t, starts(0, 10, 0), 1000)
	assert.Assert(t, starts(5, 10, cold) <= 6)
	assert.Assert(t, starts(20, 10, cold) <= 11)
}
