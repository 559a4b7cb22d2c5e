package telemetry

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of log lines with the same level and message.
const (
	sampleFirst      = 100 // lines written per sampleInterval before sampling starts
	sampleThereafter = 100 // one in this many further lines is written
	sampleInterval   = time.Second
)

// newSampledCore returns a core that samples the lines written to core and
// reports the number of dropped lines at most once per sampleInterval.
func newSampledCore(core zapcore.Core) zapcore.Core {
	drops := &dropCounter{}
	hook := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			drops.unreported.Add(1)
		}
	}
	return zapcore.NewSamplerWithOptions(dropReportingCore{core, drops}, sampleInterval, sampleFirst, sampleThereafter, zapcore.SamplerHook(hook))
}

// dropCounter counts the lines that sampling dropped since the last report.
type dropCounter struct {
	unreported atomic.Uint64
	reportedAt atomic.Int64 // time of the last report in Unix nanoseconds
}

// takeUnreported returns the number of dropped lines to report now and resets it.
// It returns 0 if no line was dropped or the last report is less than
// sampleInterval old.
func (c *dropCounter) takeUnreported(now time.Time) uint64 {
	last := c.reportedAt.Load()
	if c.unreported.Load() == 0 || now.UnixNano()-last < int64(sampleInterval) || !c.reportedAt.CompareAndSwap(last, now.UnixNano()) {
		return 0
	}
	return c.unreported.Swap(0)
}

// dropReportingCore is a zapcore.Core that, when a report of dropped lines is due,
// writes it before the next line.
type dropReportingCore struct {
	zapcore.Core
	drops *dropCounter
}

// With implements zapcore.Core. The returned core shares the counter of c.
func (c dropReportingCore) With(fields []zapcore.Field) zapcore.Core {
	return dropReportingCore{c.Core.With(fields), c.drops}
}

// Check implements zapcore.Core. It adds c itself so that Write is called on c.
func (c dropReportingCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core. It first writes the report of dropped lines if
// one is due.
func (c dropReportingCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if n := c.drops.takeUnreported(e.Time); n > 0 {
		report := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: "log_lines_sampled"}
		if err := c.Core.Write(report, []zapcore.Field{zap.Uint64("left_out", n)}); err != nil {
			return err
		}
	}
	return c.Core.Write(e, fields)
}
