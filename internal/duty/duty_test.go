package duty_test

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/duty"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRingRefusesWhenFull(t *testing.T) {
	r := duty.NewRing[int](2, duty.RefuseNew)
	ctx := context.Background()
	assert.Assert(t, r.Put(ctx, 1))
	assert.Assert(t, r.Put(ctx, 2))
	assert.Assert(t, !r.Put(ctx, 3))
	assert.Equal(t, r.Dropped(), uint64(1))
	assert.Equal(t, <-r.C(), 1)
}

func TestRingDropsOldestWhenFull(t *testing.T) {
	r := duty.NewRing[int](2, duty.DropOldest)
	ctx := context.Background()
	for i := 1; i <= 3; i++ {
		assert.Assert(t, r.Put(ctx, i))
	}
	assert.Equal(t, <-r.C(), 2)
	assert.Equal(t, <-r.C(), 3)
	assert.Equal(t, r.Dropped(), uint64(1))
}

func TestRingBlocksUntilContextEnds(t *testing.T) {
	r := duty.NewRing[int](1, duty.Block)
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, r.Put(ctx, 1))
	cancel()
	assert.Assert(t, !r.Put(ctx, 2))
}

func TestGroupReturnsPanicAsErrorAndStopsOthers(t *testing.T) {
	g := duty.NewGroup(context.Background())
	g.Go("waiter", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	g.Go("broken", func(context.Context) error { panic("boom") })
	assert.ErrorContains(t, g.Wait(), "duty broken")
}

func TestGroupReturnsFirstError(t *testing.T) {
	errFirst := errors.New("first")
	g := duty.NewGroup(context.Background())
	g.Go("a", func(context.Context) error { return errFirst })
	assert.ErrorIs(t, g.Wait(), errFirst)
}
