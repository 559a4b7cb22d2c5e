package duty

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/panics"
)

// restartDelay is the time between the panic of a contained duty and its restart.
const restartDelay = 100 * time.Millisecond

// Contain calls f and returns its panic as an error with the stack, or nil.
func Contain(f func()) error {
	var catcher panics.Catcher
	catcher.Try(f)
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return nil
}

// GoContained is like Go, but a panic of the duty does not end the group: it is reported,
// and the duty is started again after a delay. An error that the duty returns ends the
// group, as with Go.
func (g *Group) GoContained(name string, f Func, report func(name string, err error)) {
	g.Go(name, func(ctx context.Context) error {
		for {
			var err error
			panicked := Contain(func() { err = f(ctx) })
			if panicked == nil {
				return err
			}
			report(name, fmt.Errorf("duty %s: %w", name, panicked))
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(restartDelay):
			}
		}
	})
}
