package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A reader that stalls blocks no writer; what was left out is counted and told.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewAsyncWriter(pipe)
	const lines = asyncLines + 5000
	for range lines {
		_, err := w.Write([]byte("x\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() > 0)
	read := make(chan []byte)
	go func() {
		var b bytes.Buffer
		_, _ = io.Copy(&b, r)
		read <- b.Bytes()
	}()
	for w.ring.Len() > 0 {
	}
	assert.NilError(t, w.Close())
	assert.NilError(t, pipe.Close())
	got := string(<-read)
	assert.Assert(t, strings.Count(got, "x\n")+int(w.Dropped()) == lines, "%d lines and %d dropped", strings.Count(got, "x\n"), w.Dropped())
	assert.Assert(t, strings.Contains(got, "msg=log_lines_dropped"))
}
