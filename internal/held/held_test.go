package held

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
)

// A connection that goes on to another request must not be cut for the answer before it.
func TestReaderIsNotCutAfterItsEnd(t *testing.T) {
	m := New(heldmem.Limits{Total: 2, Over: 4, Bodies: 1, Answers: 1, Reading: 1, Garbage: 1 << 40, Heap: 1, CutAfter: time.Millisecond, GiveUp: 100 * time.Millisecond})
	first, second := m.NewAnswer(), m.NewAnswer()
	assert.NilError(t, first.Grow(context.Background(), 1))
	var ended atomic.Bool
	cutting, returned := make(chan struct{}), make(chan struct{})
	reader := m.Track(1<<20, time.Now().Add(-time.Minute), func() {
		close(cutting)
		time.Sleep(50 * time.Millisecond)
		assert.Check(t, !ended.Load(), "cut after its end")
	})
	go func() {
		defer close(returned)
		<-cutting
		reader.End()
		ended.Store(true)
	}()
	assert.ErrorIs(t, second.Grow(context.Background(), 1), ErrFull)
	<-returned
}

// Answers wait for room in their order, slow readers make room for them, and what finds none is
// given up. In the end nothing stays counted.
func TestAnswersWaitForRoom(t *testing.T) {
	const long = 1 << 20
	m := New(heldmem.Limits{Total: 4 * long, Over: 5 * long, Bodies: 2 * long, Answers: 3 * long, Reading: 3 * long, Garbage: 1 << 40, Heap: 1, CutAfter: 10 * time.Millisecond, GiveUp: 200 * time.Millisecond})
	ctx := context.Background()
	held := make([]Answer, 3)
	for i := range held {
		held[i] = m.NewAnswer()
		assert.NilError(t, held[i].Grow(ctx, long))
		held[i].DoneReading()
	}
	assert.Assert(t, m.Reserve(long) && !m.Reserve(2*long) && !m.HasRoom(long), "answers leave room for one body")
	late := m.NewAnswer()
	assert.ErrorIs(t, late.Grow(ctx, long), ErrFull, "nobody can be cut")
	var released sync.WaitGroup
	cut := make(chan struct{})
	reader := m.Track(held[1].Bytes(), time.Now().Add(-time.Minute), func() { close(cut) })
	released.Go(func() {
		<-cut
		held[1].Release()
		reader.End()
	})
	assert.NilError(t, late.Grow(ctx, long))
	released.Wait()
	slow, _ := m.Cuts()
	assert.Equal(t, slow, int64(1))
	assert.ErrorIs(t, late.Count(2*long), ErrFull)
	late.Release()
	held[0].Release()
	held[2].Release()
	m.Release(long)
	var crowd sync.WaitGroup
	for range 50 {
		crowd.Go(func() {
			a := m.NewAnswer()
			for range 5 {
				_ = a.Grow(ctx, long/4) // whether it gets room is not the question
			}
			a.DoneReading()
			a.Release()
		})
	}
	crowd.Wait()
	total, bodies, answers := m.Bytes()
	assert.Assert(t, total == 0 && bodies == 0 && answers == 0 && m.reading.Load() == 0 && m.waiting.Load() == 0, "%d %d %d", total, bodies, answers)
}
