package admission

import "math"

const (
	reserveWeight     = 0.005 // weight of a new sample in the moving averages of the slots in use
	reserveDeviations = 2     // slots to reserve above the mean in use, in standard deviations of the number in use
)

// slotReserve determines how many slots to reserve for short classes, by
// square-root staffing (Halfin, Whitt 1981): the mean number of slots that short
// classes use plus a multiple of its square root. The result is never less than
// configured; above that, it leaves long classes the slots that they use.
type slotReserve struct {
	short float64 // slots in use by short classes, moving average
	long  float64 // slots in use by long classes, moving average
}

// recordSample updates the averages with the present numbers of running requests
// of short and of long classes.
func (r *slotReserve) recordSample(short, long int) {
	r.short += reserveWeight * (float64(short) - r.short)
	r.long += reserveWeight * (float64(long) - r.long)
}

// size returns the number of slots to reserve for short classes. At least one slot
// remains for long classes.
func (r *slotReserve) size(cfg Config) int {
	want := int(math.Ceil(r.short + reserveDeviations*math.Sqrt(r.short)))
	spare := cfg.Slots - int(math.Ceil(r.long))
	n := max(cfg.ReservedSlots, min(want, spare))
	return max(min(n, cfg.Slots-1), 0)
}
