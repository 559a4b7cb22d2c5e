package succession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

const interval = 870 * time.Millisecond

var testConfig = Config{Interval: interval, Silence: 3 * interval}

// start is when the tests begin, so that no instant is zero.
const start = ident.Instant(time.Hour)

// event is a heartbeat or the loss of the server, at a time after start.
type event struct {
	at       time.Duration
	id       string
	started  int64
	sequence int64
	service  string // "s" if empty
	addr     string
	lost     bool // the instance in use refuses a connection
	unknown  bool // the service is not configured
}

// beats returns heartbeats of an instance in order, an interval apart.
func beats(id string, started int64, from, to time.Duration, sequence int64) []event {
	var out []event
	for at := from; at <= to; at += interval {
		out = append(out, event{at: at, id: id, started: started, sequence: sequence})
		sequence++
	}
	return out
}

// play replays events in the order of their times and returns the instance in use after each.
func play(t *Tracker, events []event) (outcomes []Outcome, inUse []roster.Instance) {
	for _, e := range events {
		now := start.Add(e.at)
		if e.lost {
			t.MarkLost()
		} else {
			t.CheckSilence(now)
			h := Heartbeat{Identity: Identity{roster.Instance{ID: e.id, StartedMS: e.started}, "s", e.addr}, Sequence: e.sequence, Configured: !e.unknown}
			if e.service != "" {
				h.Service = ident.Service(e.service)
			}
			outcomes = append(outcomes, t.HandleHeartbeat(h, now))
		}
		i, _ := t.Current()
		inUse = append(inUse, i.Instance)
	}
	return outcomes, inUse
}

// merge joins two series of events by their times.
func merge(a, b []event) []event {
	var out []event
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || len(a) > 0 && a[0].at <= b[0].at {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return out
}

// One heartbeat of another writer shut out a live server for good, whatever it named.
func TestServerIsInUseAgainAfterOneForeignHeartbeat(t *testing.T) {
	const foreignAt = 10 * time.Second
	for name, foreign := range map[string]event{
		"a later start under another id":  {id: "x", started: 9, sequence: 1},
		"a later start under the same id": {id: "a", started: 9, sequence: 1},
		"an earlier start":                {id: "x", sequence: 1},
		"a sequence far ahead":            {id: "a", started: 5, sequence: 1 << 40},
		"a sequence a little ahead":       {id: "a", started: 5, sequence: 100},
		"another service":                 {id: "a", started: 5, sequence: 100, service: "u"},
		"another address":                 {id: "a", started: 5, sequence: 100, addr: "odd"},
		"a service that is not known":     {id: "x", started: 9, sequence: 1, service: "u", unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []time.Duration{0, foreignAt + time.Millisecond} { // also before the first one of the server
				tracker := New(testConfig)
				foreign.at = foreignAt
				_, inUse := play(tracker, merge(beats("a", 5, first, foreignAt+20*time.Second, 1), []event{foreign}))
				assert.Equal(t, inUse[len(inUse)-1], roster.Instance{ID: "a", StartedMS: 5})
				assert.Assert(t, !tracker.Lost())
				assert.Assert(t, tracker.Adoptions() <= 3, "%d adoptions", tracker.Adoptions())
			}
		})
	}
}

// The real server is back within 4 s of the last one of some foreign heartbeats.
func TestServerIsBackSoonAfterForeignHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		real := beats("a", 5, time.Duration(rapid.Int64Range(0, int64(interval)).Draw(t, "phase")), 40*time.Second, 1)
		var foreign []event
		at := 5 * time.Second
		for range rapid.IntRange(1, 6).Draw(t, "foreign") {
			at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond
			foreign = append(foreign, event{
				at: at, id: rapid.SampledFrom([]string{"a", "x", "y", "z", "u", "v"}).Draw(t, "id"), started: rapid.Int64Range(0, 9).Draw(t, "start"),
				sequence: rapid.Int64Range(0, 400).Draw(t, "sequence"), service: rapid.SampledFrom([]string{"s", "u"}).Draw(t, "service"),
			})
		}
		events := merge(real, foreign)
		tracker := New(testConfig)
		_, inUse := play(tracker, events)
		for i, e := range events {
			if e.at > at+testConfig.Silence+2*interval && e.sequence > 0 {
				assert.Equal(t, inUse[i], roster.Instance{ID: "a", StartedMS: 5}, "%s after the last foreign heartbeat", e.at-at)
			}
		}
	})
}

// A server that replaces another is in use from its first heartbeat on, also under the same id,
// whether the other one was known to be lost or not, and late heartbeats of the other one change
// nothing.
func TestSuccessorIsInUseAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
		crash := 10 * time.Second
		former := beats("a", 5, 0, crash, 1)
		if rapid.Bool().Draw(t, "connection refused") {
			former = append(former, event{at: crash, lost: true})
		}
		var late []event
		at := crash + time.Duration(rapid.IntRange(1, 5000).Draw(t, "down"))*time.Millisecond
		successor := beats(id, 6, at, at+15*time.Second, 1)
		lateAt := at
		for i := range rapid.IntRange(0, 8).Draw(t, "late") {
			lateAt += time.Duration(rapid.IntRange(1, 900).Draw(t, "apart")) * time.Millisecond
			late = append(late, event{at: lateAt, id: "a", started: 5, sequence: int64(20 + i)})
		}
		events := merge(append(former, successor...), late)
		_, inUse := play(New(testConfig), events)
		for i, e := range events {
			if e.at >= at {
				assert.Equal(t, inUse[i], roster.Instance{ID: id, StartedMS: 6}, "%s after its first heartbeat", e.at-at)
			}
		}
	})
}

// The time of day was set back while a server restarted: its new instance states an earlier start
// and was refused until the start of the former one had passed again.
func TestSuccessorOfAnEarlierStartIsUsedOnceTheFormerIsLost(t *testing.T) {
	former := beats("a", 1_000_000, 0, 5*time.Second, 1)
	successor := beats("b", 500, 6*time.Second, 20*time.Second, 1)
	tracker := New(testConfig)
	events := append(former, successor...)
	_, inUse := play(tracker, events)
	for i, e := range events {
		if e.at > 5*time.Second+testConfig.Silence+interval {
			assert.Equal(t, inUse[i].ID, "b", "%s", e.at)
		}
	}
}

// A server that has crashed is not taken for alive by one late heartbeat, nor by several that
// arrive together, although its successor has crashed as well.
func TestLateHeartbeatsBringNoInstanceBack(t *testing.T) {
	events := append(beats("a", 5, 0, 3*time.Second, 1), beats("b", 6, 4*time.Second, 8*time.Second, 1)...)
	events = append(events,
		event{at: 15 * time.Second, id: "a", started: 5, sequence: 5},
		event{at: 15*time.Second + 10*time.Millisecond, id: "a", started: 5, sequence: 6},
		event{at: 15*time.Second + 20*time.Millisecond, id: "a", started: 5, sequence: 7})
	_, inUse := play(New(testConfig), events)
	assert.Equal(t, inUse[len(inUse)-1].ID, "b")
}

func TestOutcomes(t *testing.T) {
	outcomes, _ := play(New(testConfig), []event{
		{id: "a", started: 5, sequence: 7},
		{at: time.Second, id: "a", started: 5, sequence: 7},
		{at: time.Second, id: "a", started: 5, sequence: 8},
		{at: time.Second, id: "a", started: 5, sequence: 900},
		{at: time.Second, id: "b", started: 4, sequence: 1},
		{at: time.Second, id: "b", started: 9, sequence: 1, unknown: true},
		{at: time.Second, id: "b", started: 6, sequence: 1},
	})
	assert.DeepEqual(t, outcomes, []Outcome{Adopted, OutOfOrder, Continued, SequenceAhead, EarlierInstance, Unconfigured, Adopted})
}
