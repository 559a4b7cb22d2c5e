package telemetry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/burdockfold/burdockfold/internal/duty"
)

// Sizes of an AsyncWriter.
const (
	asyncLines = 2048     // lines that wait; more are left out and counted
	asyncBatch = 16 << 10 // bytes written at once
)

// AsyncWriter writes lines in a goroutine of its own, so that a reader that
// stalls blocks nobody. Lines that find the ring full are left out; how many is
// written once there is room again.
type AsyncWriter struct {
	ring *duty.Ring[[]byte]
	out  io.Writer
	done sync.WaitGroup
	stop context.CancelFunc
}

// NewAsyncWriter returns a writer to out that runs until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &AsyncWriter{ring: duty.NewRing[[]byte](asyncLines, duty.RefuseNew), out: out, stop: cancel}
	w.done.Go(func() { w.run(ctx) })
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.ring.Put(context.Background(), append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (w *AsyncWriter) Dropped() uint64 { return w.ring.Dropped() }

// Close writes the lines that wait and ends the goroutine.
func (w *AsyncWriter) Close() error {
	w.stop()
	w.done.Wait()
	return nil
}

func (w *AsyncWriter) run(ctx context.Context) {
	b := bufio.NewWriterSize(w.out, asyncBatch)
	var told uint64
	for {
		select {
		case line := <-w.ring.C():
			_, _ = b.Write(line) // a log that cannot be written has nowhere to be reported
		case <-ctx.Done():
			for w.ring.Len() > 0 {
				_, _ = b.Write(<-w.ring.C())
			}
			_ = b.Flush()
			return
		}
		if w.ring.Len() > 0 {
			continue
		}
		if n := w.ring.Dropped(); n > told {
			fmt.Fprintf(b, "level=warn msg=log_lines_dropped count=%d\n", n-told)
			told = n
		}
		_ = b.Flush()
	}
}
