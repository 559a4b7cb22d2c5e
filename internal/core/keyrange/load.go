package keyrange

import "time"

// The load is recorded in buckets of neighbouring keys, because keys that are busy
// at the same time usually lie close together. A bucket is small, so that a hot set of a
// few hundred keys can be divided among many servers.
const (
	bucketBits = 1 // a bucket has 1 << bucketBits keys
	buckets    = 1 << (16 - bucketBits)
)

// halfLife is the time in which the weight of an observed load drops to one half.
// It is about the time that a move of a range takes.
const halfLife = 2 * time.Second

// load is the service time spent on each bucket, with exponential decay.
type load struct {
	seconds [buckets]float32
}

// RecordServiceTime adds the service time of a request for a key. For a request that was
// refused for want of room it is the expected one: the load of a hot key is what its callers
// ask for, not the part of it that its server can do.
func (a *Agent) RecordServiceTime(k Key, d time.Duration) {
	a.load.seconds[k>>bucketBits] += float32(d.Seconds())
}

// sumWindow is the time over which a constant load adds up to the recorded sum, by its decay.
const sumWindow = halfLife * 1443 / 1000 // divided by ln 2

// offeredUtilization returns the part of the slots that a recorded load needs.
func offeredUtilization(load float64, slots int) float64 {
	return load / sumWindow.Seconds() / float64(max(slots, 1))
}

// decay reduces the load by the decay of an interval.
func (l *load) decay(d time.Duration) {
	keep := float32(1)
	for ; d >= halfLife; d -= halfLife {
		keep /= 2
	}
	keep *= 1 - float32(d)/float32(2*halfLife)
	for i := range l.seconds {
		l.seconds[i] *= keep
	}
}

// sumOver returns the load of a span. A bucket that the span covers in part counts
// in proportion.
func (l *load) sumOver(s Span) float64 {
	var sum float64
	for b := int(s.From) >> bucketBits; b <= int(s.To)>>bucketBits; b++ {
		in := Span{Key(b << bucketBits), Key(b<<bucketBits | (1<<bucketBits - 1))}.intersect(s)
		sum += float64(l.seconds[b]) * float64(in.Len()) / (1 << bucketBits)
	}
	return sum
}
