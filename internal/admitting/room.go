package admitting

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/room"
)

// minRoomShare is the share of the announced slots that is used whatever was learnt: it bounds
// what a wrong estimate costs.
const minRoomShare = 0.5

// LearnRoom makes the gate learn how many requests at once the server takes well, and start no
// more than that. It must be called before the gate is used.
func (g *Gate) LearnRoom() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learnt = room.New()
	g.learnt.SetSlots(g.slots)
	g.inForce = g.slots
	g.classes = make(map[admission.ID]admission.Class)
}

// Room returns how many requests at once the server takes well, and how long work takes there
// at present, 1 as usual; zero if unknown.
func (g *Gate) Room() (requests, pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learnt == nil {
		return 0, 0
	}
	now := g.clock.Now()
	return float64(g.usefulSlots(now)), g.learnt.Pace(now)
}

// RecordPace records the pace that the server states; zero states none.
func (g *Gate) RecordPace(pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.learnt != nil {
		g.learnt.Report(pace, g.clock.Now())
	}
}

// usefulSlots returns the slots that the room leaves of those announced. The caller holds g.mu.
func (g *Gate) usefulSlots(now ident.Instant) int {
	least := int(math.Ceil(minRoomShare * float64(g.slots)))
	return min(max(int(math.Round(g.learnt.Room(now))), least), max(g.slots, 0))
}

// recordStarts records the requests that start, and forgets those that are refused. The caller
// holds g.mu.
func (g *Gate) recordStarts(cmds []admission.Command) {
	if g.learnt == nil {
		return
	}
	for _, c := range cmds {
		id := requestID(c)
		if _, ok := c.(admission.Start); ok {
			g.learnt.Start(uint64(id), string(g.classes[id]), g.clock.Now())
		}
		delete(g.classes, id)
	}
}

// recordEnd records the end of a request, which was not served if served is not positive. The
// caller holds g.mu.
func (g *Gate) recordEnd(id admission.ID, served time.Duration) {
	if g.learnt == nil {
		return
	}
	delete(g.classes, id)
	if served > 0 {
		g.learnt.End(uint64(id), g.clock.Now())
		return
	}
	g.learnt.Drop(uint64(id), g.clock.Now())
}
