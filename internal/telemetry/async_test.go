package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stalled reader of the log blocking the goroutines that log.
// Every line is either written or counted as dropped, and the output reports the
// drops.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewAsyncWriter(pipe)
	const lines = asyncQueueLines + 5000
	for range lines {
		_, err := w.Write([]byte("x\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() > 0)
	output := make(chan []byte)
	go func() {
		var b bytes.Buffer
		_, _ = io.Copy(&b, r)
		output <- b.Bytes()
	}()
	for w.queue.Len() > 0 {
	}
	assert.NilError(t, w.Close())
	assert.NilError(t, pipe.Close())
	got := string(<-output)
	assert.Assert(t, strings.Count(got, "x\n")+int(w.Dropped()) == lines, "%d lines and %d dropped", strings.Count(got, "x\n"), w.Dropped())
	assert.Assert(t, strings.Contains(got, "msg=log_lines_dropped"))
}

// Lines whose length callers choose must not fill the memory while nobody reads the log. Each is
// written or counted, and short ones are written again afterwards.
func TestQueuedBytesAreBounded(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewAsyncWriter(pipe)
	long := append(bytes.Repeat([]byte("a"), 60<<10), '\n')
	const lines = 1000
	for range lines {
		_, err := w.Write(long)
		assert.NilError(t, err)
	}
	assert.Assert(t, w.queued.Load() <= asyncQueueBytes)
	output := make(chan []byte)
	go func() {
		b, _ := io.ReadAll(r)
		output <- b
	}()
	for w.queue.Len() > 0 {
	}
	_, err := w.Write([]byte("x\n"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.NilError(t, pipe.Close())
	got := <-output
	assert.Equal(t, bytes.Count(got, long)+int(w.Dropped()), lines)
	assert.Assert(t, bytes.Contains(got, []byte("\nx\n")) && w.queued.Load() == 0)
}
