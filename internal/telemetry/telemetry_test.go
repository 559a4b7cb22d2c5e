package telemetry_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/settings"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestLoggerWritesOneLineOfPairsInOrder(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	assert.NilError(t, err)
	log.Debug("hidden")
	log.With(telemetry.Member(ident.Member{Host: "a", Incarnation: 7})).Warn("request_failed",
		telemetry.ErrorKind(errkind.New(errkind.NoOwner, "nobody")),
		telemetry.Service("catalog"),
		zap.Duration("waited", 1500*time.Millisecond),
		zap.String("text", "say \"hi\" = \nไทย"),
		zap.Error(errors.New("two words")))
	line := regexp.MustCompile(`^time=\S+Z `).ReplaceAllString(out.String(), "")
	assert.Equal(t, line, `level=warn msg=request_failed member=a/7 error_kind=no-owner service=catalog waited=1.5s `+
		`text="say \"hi\" = \nไทย" error="two words"`+"\n")
	_, err = telemetry.NewLogger(&out, "loud")
	assert.ErrorContains(t, err, "log level")
}

func TestProvidersExportMetricsAndSpans(t *testing.T) {
	ctx := context.Background()
	var spans bytes.Buffer
	p, err := telemetry.New(ctx, telemetry.Config{
		Settings: settings.Telemetry{TraceExporter: settings.TraceStdout, TraceRatio: 0},
		Stdout:   &spans,
		Logger:   zap.NewNop(),
	})
	assert.NilError(t, err)
	counter, err := p.Meter().Int64Counter("burdock_requests", metric.WithDescription("Requests."))
	assert.NilError(t, err)
	counter.Add(ctx, 3)
	rec := httptest.NewRecorder()
	p.MetricsHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, cmp.Contains(rec.Body.String(), "burdock_requests_total"))

	// If the parent span is sampled, its child is exported in the same trace, even
	// at a trace ratio of zero.
	carrier := propagation.MapCarrier{"traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
	_, span := p.Tracer().Start(p.Propagator().Extract(ctx, carrier), "locate")
	span.End()
	assert.NilError(t, p.Shutdown(ctx))
	assert.Assert(t, cmp.Contains(spans.String(), "0af7651916cd43dd8448eb211c80319c"))
}
