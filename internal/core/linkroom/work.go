package linkroom

import "time"

const (
	// maxClasses bounds the classes whose work is known; peers name them.
	maxClasses = 256
	// workWeight is the weight of a new value in the average of a class.
	workWeight = 0.1
)

// workTimes holds the average work of each class.
type workTimes map[string]time.Duration

func (w workTimes) of(class string) time.Duration { return w[class] }

func (w workTimes) record(class string, d time.Duration) {
	old, known := w[class]
	switch {
	case d <= 0 || !known && len(w) >= maxClasses:
	case !known:
		w[class] = d
	default:
		w[class] = old + time.Duration(float64(d-old)*workWeight)
	}
}
