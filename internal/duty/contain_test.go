package duty_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/duty"
)

// A panic of a contained duty is reported with its stack, and the duty runs again; the
// other duties go on. An error of the duty still ends the group.
func TestContainedDutyRunsAgainAfterPanic(t *testing.T) {
	g := duty.NewGroup(context.Background())
	reports := make(chan error, 1)
	runs := 0
	failure := errors.New("port lost")
	g.GoContained("reader", func(context.Context) error {
		if runs++; runs == 1 {
			panic("malformed")
		}
		return failure
	}, func(_ string, err error) { reports <- err })
	g.Go("other", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	assert.ErrorIs(t, g.Wait(), failure)
	assert.Equal(t, runs, 2)
	report := (<-reports).Error()
	assert.Assert(t, strings.Contains(report, "malformed") && strings.Contains(report, "contain_test.go"), report)
}
