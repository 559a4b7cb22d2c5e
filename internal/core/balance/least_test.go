package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// A route gets slow for a while: requests with little time are refused because of its least
// service time, so that nothing tells of its recovery. The least time must end by itself.
func TestLeastTimesEndWithoutObservations(t *testing.T) {
	times, now := NewTimes(), ident.Instant(time.Hour)
	to := ident.Location{Region: "b"}
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		service := time.Duration(80+i%5*20) * time.Millisecond
		times.RecordService(now, "r", service)
		times.RecordWay(now, to, 60*time.Millisecond+time.Duration(i%7)*time.Millisecond)
		if way, _ := times.Least(now, to, "r"); i < 10 {
			assert.Equal(t, way, time.Duration(0), "too few to know")
		}
	}
	way, service := times.Least(now, to, "r")
	assert.Assert(t, way >= 60*time.Millisecond && way < 61*time.Millisecond, "%v", way)
	assert.Assert(t, service >= 80*time.Millisecond && service < 85*time.Millisecond, "%v", service)
	for range 30 {
		times.RecordService(now, "r", 500*time.Millisecond)
	}
	_, service = times.Least(now, to, "r")
	assert.Assert(t, service < 250*time.Millisecond, "%v: requests that were served lately were shorter", service)
	way, service = times.Least(now.Add(3*time.Second), to, "r")
	assert.Equal(t, service, time.Duration(0))
	assert.Assert(t, way > 0)
}
