package admission

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	meanSampleWeight   = 0.1  // weight of a new sample in the moving averages
	highQuantile       = 0.95 // quantile of the service time that is estimated for each class
	quantileStep       = 0.05 // relative step by which a sample changes the quantile estimate
	maxClasses         = 1024 // classes with an estimate of their own; samples of all further classes go to overflowClass
	overflowClass      = Class("")
	highQuantileFactor = 4 // a short class's high quantile is at most this multiple of the limit for its mean
	overrunFactor      = 2 // a run that takes this multiple of its class's mean raises the mean
)

// estimate holds the estimated service time of one class.
type estimate struct {
	mean      float64 // nanoseconds, exponentially weighted moving average
	high      float64 // nanoseconds, estimate of the quantile highQuantile
	samples   uint64
	startedAt ident.Instant // when a request of the class last started
}

// classEstimates estimates the service time of each class from the durations of
// finished requests. The high quantile is estimated by the multiplicative
// form of Frugal-1U (Ma, Muthukrishnan, Sandler: "Frugal Streaming for
// Estimating Quantiles", 2013).
type classEstimates struct {
	shortClassFactor float64
	byClass          map[Class]*estimate
	logMean          float64 // moving average of the logarithm of the service time, over all classes
	samples          uint64
}

func newClassEstimates(factor float64) *classEstimates {
	return &classEstimates{shortClassFactor: factor, byClass: make(map[Class]*estimate)}
}

// getOrCreate returns the estimate of a class. Once maxClasses classes have an
// estimate, it returns the estimate of overflowClass for every new class.
func (c *classEstimates) getOrCreate(k Class) *estimate {
	if e := c.byClass[k]; e != nil {
		return e
	}
	if len(c.byClass) >= maxClasses {
		k = overflowClass
	}
	e := c.byClass[k]
	if e == nil {
		e = &estimate{}
		c.byClass[k] = e
	}
	return e
}

// typicalServiceTime returns the geometric mean, in nanoseconds, of the recent
// service times of all classes, or 0 without samples. A few very long requests
// hardly change it.
func (c *classEstimates) typicalServiceTime() float64 {
	if c.samples == 0 {
		return 0
	}
	return math.Exp(c.logMean)
}

// meanServiceTime returns the expected service time of a class. For a class
// without samples it returns the typical service time.
func (c *classEstimates) meanServiceTime(k Class) time.Duration {
	if e := c.byClass[k]; e != nil && e.samples > 0 {
		return time.Duration(e.mean)
	}
	return time.Duration(c.typicalServiceTime())
}

// highServiceTime returns the estimated highQuantile of the service time of a
// class. It is never less than the mean.
func (c *classEstimates) highServiceTime(k Class) time.Duration {
	mean := c.meanServiceTime(k)
	if e := c.byClass[k]; e != nil {
		return max(mean, time.Duration(e.high))
	}
	return mean
}

// isShort reports whether a class is short: neither its mean nor its high quantile
// is far above the typical service time. A class without samples counts as short.
func (c *classEstimates) isShort(k Class) bool {
	e := c.byClass[k]
	if e == nil || e.samples == 0 {
		return true
	}
	limit := c.shortClassFactor * c.typicalServiceTime()
	return e.mean <= limit && e.high <= highQuantileFactor*limit
}

// recordServiceTime adds the service time of a finished request to the estimate
// of its class and to the typical service time.
func (c *classEstimates) recordServiceTime(k Class, served time.Duration) {
	x := max(float64(served), 1)
	e := c.getOrCreate(k)
	e.addSample(x)
	c.samples++
	if c.samples == 1 {
		c.logMean = math.Log(x)
		return
	}
	c.logMean += meanSampleWeight * (math.Log(x) - c.logMean)
}

// addSample updates the mean and the high quantile with a service time x in
// nanoseconds.
func (e *estimate) addSample(x float64) {
	e.samples++
	if e.samples == 1 {
		e.mean, e.high = x, x
		return
	}
	e.mean += meanSampleWeight * (x - e.mean)
	if x > e.high {
		e.high *= 1 + quantileStep*highQuantile
		return
	}
	e.high *= 1 - quantileStep*(1-highQuantile)
}

// recordOverrun raises the mean of a class while one of its requests has already
// run for clearly longer than expected. The core thereby recognizes a new class of
// long requests before the first of them ends.
func (c *classEstimates) recordOverrun(k Class, elapsed time.Duration) {
	if c.samples == 0 {
		return
	}
	x := float64(elapsed)
	if x < overrunFactor*float64(c.meanServiceTime(k)) || x < overrunFactor*c.typicalServiceTime() {
		return
	}
	e := c.getOrCreate(k)
	if e.samples == 0 {
		e.samples = 1
		e.mean, e.high = x, x
		return
	}
	e.mean += meanSampleWeight * (x - e.mean)
}
