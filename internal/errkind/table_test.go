package errkind_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

func TestTableIsCompleteAndConsistent(t *testing.T) {
	names := map[string]bool{}
	for k := errkind.Internal; k <= errkind.CallsWithoutRoom; k++ {
		a := k.Answer()
		assert.Assert(t, a.Name != "" && a.Title != "" && !names[a.Name], "kind %d", k)
		names[a.Name] = true
		assert.Assert(t, a.Status >= 400 && a.Status <= 599, a.Name)
		assert.Assert(t, a.Truth == errkind.NotRun || a.Truth == errkind.Unknown, a.Name)
		// Only a request that has certainly not been executed may invite a retry.
		assert.Assert(t, a.RetryAfter == 0 || a.Truth == errkind.NotRun, a.Name)
	}
	assert.Equal(t, (errkind.CallsWithoutRoom + 1).String(), "internal")
	e := &errkind.Error{Kind: errkind.Overloaded, RetryAfter: time.Second + 1}
	assert.Equal(t, e.Answer().RetryAfterSeconds(), 2)
}
