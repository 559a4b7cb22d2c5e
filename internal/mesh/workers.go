package mesh

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/duty"
)

// maxIdleWorkers bounds the idle goroutines that wait for streams.
const maxIdleWorkers = 64

// workerPool runs each stream handler in a goroutine. A goroutine whose handler
// has returned waits for another stream, since a new goroutine would have to
// grow its stack again. The number of running goroutines is bounded by the
// number of streams of the connections.
type workerPool struct {
	group *duty.Group
	// toIdleWorker passes a stream to an idle worker. It is unbuffered: if no
	// worker is idle, runHandler starts a new one.
	toIdleWorker chan *serverStream
	idleCount    atomic.Int32
}

func newWorkers(g *duty.Group) *workerPool {
	return &workerPool{group: g, toIdleWorker: make(chan *serverStream)}
}

// runHandler runs the handler of a stream in a worker and does not wait for it.
// The caller must run in a goroutine of the group.
func (w *workerPool) runHandler(ss *serverStream) {
	select {
	case w.toIdleWorker <- ss:
	default:
		w.group.Go("stream", func(ctx context.Context) error { return w.run(ctx, ss) })
	}
}

// run serves ss and then further streams, until there are too many idle workers
// or ctx ends.
func (w *workerPool) run(ctx context.Context, ss *serverStream) error {
	for {
		if err := duty.Contain(ss.serve); err != nil { // serve has reset the stream
			ss.c.m.log.Error("mesh_panic", zap.String("duty", "stream"), zap.Stringer("peer", ss.c.peer), zap.Error(err))
		}
		if w.idleCount.Add(1) > maxIdleWorkers {
			w.idleCount.Add(-1)
			return nil
		}
		select {
		case ss = <-w.toIdleWorker:
			w.idleCount.Add(-1)
		case <-ctx.Done():
			return nil
		}
	}
}
