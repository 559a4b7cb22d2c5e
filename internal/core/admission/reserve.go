package admission

import "math"

const (
	reserveWeight = 0.005 // of a new sample in the moving average of slots in use
	reserveSpread = 2     // standard deviations of the slots in use that are kept free

)

// reserve sizes the slots that are kept for short classes by square-root
// staffing (Halfin, Whitt 1981): the mean in use plus a multiple of its root,
// never less than configured, and never at the cost of what long classes use.
type reserve struct {
	short float64 // slots in use by short classes, moving average
	long  float64 // slots in use by long classes, moving average
}

func (r *reserve) sample(short, long int) {
	r.short += reserveWeight * (float64(short) - r.short)
	r.long += reserveWeight * (float64(long) - r.long)
}

// slots returns the slots to keep for short classes. At least one is left to
// long classes.
func (r *reserve) slots(cfg Config) int {
	want := int(math.Ceil(r.short + reserveSpread*math.Sqrt(r.short)))
	spare := cfg.Slots - int(math.Ceil(r.long))
	n := max(cfg.ReservedSlots, min(want, spare))
	return max(min(n, cfg.Slots-1), 0)
}
