package keyrange

import "time"

// Load is counted by buckets of neighbouring keys, since keys that are busy
// together lie close to one another.
const (
	bucketBits = 6 // keys of one bucket: 1 << bucketBits
	buckets    = 1 << (16 - bucketBits)
)

// halfLife is the time in which an observed load loses half of its weight: about
// the time that it takes to move a range.
const halfLife = 2 * time.Second

// load is the decaying service time spent on each bucket.
type load struct {
	spent [buckets]float32 // seconds
}

// RecordServiceTime notes the service time of a request on a key.
func (a *Agent) RecordServiceTime(k Key, d time.Duration) {
	a.load.spent[k>>bucketBits] += float32(d.Seconds())
}

// decay lets an interval pass.
func (l *load) decay(d time.Duration) {
	keep := float32(1)
	for ; d >= halfLife; d -= halfLife {
		keep /= 2
	}
	keep *= 1 - float32(d)/float32(2*halfLife)
	for i := range l.spent {
		l.spent[i] *= keep
	}
}

// of sums the load of a span, in parts of its buckets.
func (l *load) of(s Span) float64 {
	var sum float64
	for b := int(s.From) >> bucketBits; b <= int(s.To)>>bucketBits; b++ {
		in := Span{Key(b << bucketBits), Key(b<<bucketBits | (1<<bucketBits - 1))}.cut(s)
		sum += float64(l.spent[b]) * float64(in.Len()) / (1 << bucketBits)
	}
	return sum
}
