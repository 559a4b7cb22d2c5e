package telemetry

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// manualClock is a zapcore.Clock whose time the test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                       { return c.now }
func (c *manualClock) NewTicker(time.Duration) *time.Ticker { panic("not used") }

// Load pattern: a flood of equal lines. The logger drops most of them and reports
// their number after the flood. Guards against lines that are neither written nor
// counted.
func TestLinesLeftOutAreCounted(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	clock := &manualClock{now: time.Unix(1000, 0)}
	log := zap.New(newSampledCore(core), zap.WithClock(clock)).With(zap.String("host", "h"))
	const flood = 5000
	for range flood {
		log.Info("request_failed")
	}
	clock.now = clock.now.Add(2 * time.Second)
	log.Info("daemon_drains")

	written, dropped := 0, uint64(0)
	for _, e := range logged.All() {
		switch e.Message {
		case "request_failed":
			written++
		case "log_lines_sampled":
			for _, f := range e.Context {
				if f.Key == "left_out" {
					dropped += uint64(f.Integer)
				}
			}
		}
	}
	assert.Equal(t, written+int(dropped), flood)
	assert.Equal(t, written, sampleFirst+(flood-sampleFirst)/sampleThereafter)
}

// A log without a flood contains no report of dropped lines.
func TestQuietLogTellsNothing(t *testing.T) {
	var b strings.Builder
	log, err := NewLogger(&b, "info")
	assert.NilError(t, err)
	for range 10 {
		log.Info("request_done")
	}
	assert.Assert(t, !strings.Contains(b.String(), "log_lines_sampled"))
}
