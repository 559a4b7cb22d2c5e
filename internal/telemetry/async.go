package telemetry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/burdockfold/burdockfold/internal/duty"
)

// Limits of an AsyncWriter.
const (
	asyncQueueLines  = 2048     // queued lines; further lines are dropped and counted
	asyncQueueBytes  = 1 << 20  // of queued lines, likewise; callers choose the length of some
	asyncBufferBytes = 16 << 10 // output buffer, in bytes
)

// AsyncWriter writes log lines from its own goroutine, so that a stalled reader
// of the output does not block the goroutines that log. It drops lines that
// arrive while the queue is full, and writes the number of dropped lines once
// the queue is empty.
type AsyncWriter struct {
	queue   *duty.Ring[[]byte]
	queued  atomic.Int64  // bytes in the queue
	tooLong atomic.Uint64 // lines that were dropped for their bytes
	out     io.Writer
	running sync.WaitGroup // the goroutine that writes
	cancel  context.CancelFunc
}

// NewAsyncWriter returns a writer that writes to out until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &AsyncWriter{queue: duty.NewRing[[]byte](asyncQueueLines, duty.RefuseNew), out: out, cancel: cancel}
	w.running.Go(func() { w.run(ctx) })
	return w
}

// Write queues a copy of line, or drops line if the queue is full. It never
// blocks and always reports success.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	n := int64(len(line))
	if w.queued.Add(n) > asyncQueueBytes {
		w.queued.Add(-n)
		w.tooLong.Add(1)
	} else if !w.queue.Put(context.Background(), append([]byte(nil), line...)) {
		w.queued.Add(-n)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() uint64 { return w.queue.Dropped() + w.tooLong.Load() }

// Close writes the queued lines and waits until the goroutine has ended.
func (w *AsyncWriter) Close() error {
	w.cancel()
	w.running.Wait()
	return nil
}

// run writes queued lines until ctx ends. It flushes the buffer whenever the queue
// is empty.
func (w *AsyncWriter) run(ctx context.Context) {
	buf := bufio.NewWriterSize(w.out, asyncBufferBytes)
	var reportedDrops uint64
	for {
		select {
		case line := <-w.queue.C():
			w.writeLine(buf, line)
		case <-ctx.Done():
			for w.queue.Len() > 0 {
				w.writeLine(buf, <-w.queue.C())
			}
			_ = buf.Flush()
			return
		}
		if w.queue.Len() > 0 {
			continue
		}
		if n := w.Dropped(); n > reportedDrops {
			fmt.Fprintf(buf, "level=warn msg=log_lines_dropped count=%d\n", n-reportedDrops)
			reportedDrops = n
		}
		_ = buf.Flush()
	}
}

// writeLine writes a line that was queued.
func (w *AsyncWriter) writeLine(buf *bufio.Writer, line []byte) {
	_, _ = buf.Write(line) // an error of the log itself cannot be reported anywhere
	w.queued.Add(-int64(len(line)))
}
