// Package telemetry creates the logger, the metrics and the traces of a daemon.
// Other packages log events with the fields defined here and create instruments
// and spans through Providers. Log lines go to a writer in logfmt, metrics to an
// HTTP handler in the Prometheus format, and spans to the configured exporter.
// Logging never blocks on its output when it goes through an AsyncWriter, and
// log lines that the queue or the sampling drops are counted and reported.
package telemetry

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// timeLayout is the RFC 3339 format with milliseconds. Times are converted to UTC.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one line of key=value pairs for each
// event: time, level, msg and then the fields in the order given. level is the
// lowest level written: debug, info, warn or error. To keep the log readable
// during a flood of refusals, the logger writes only the first sampleFirst lines
// of the same event in a second and then one in sampleThereafter; a line with
// msg=log_lines_sampled reports the number of dropped lines. The logger
// serializes its writes to w.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("telemetry: log level: %w", err)
	}
	encoder := zaplogfmt.NewEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "msg",
		NameKey:        zapcore.OmitKey,
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	sink := zapcore.Lock(zapcore.AddSync(w))
	core := zapcore.NewCore(encoder, sink, minLevel)
	return zap.New(newSampledCore(core)), nil
}

// encodeTime appends t in UTC, formatted with timeLayout.
func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(t.UTC().Format(timeLayout))
}
