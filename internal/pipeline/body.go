package pipeline

import (
	"io"
	"net/http"
	"sync/atomic"
)

// NoBody is an empty body.
var NoBody io.ReadCloser = noBody{}

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// hookedBody calls its hooks when the body is closed for the first time, in the
// order in which they were added.
type hookedBody struct {
	io.ReadCloser
	hooks  []func()
	inline [inlineHooks]func() // backing array of hooks, which saves an allocation
	closed atomic.Bool
}

// inlineHooks is the number of filters that hold a resource until the end of an
// answer. Further hooks cost an allocation.
const inlineHooks = 5

// onClose returns a body that calls f when it is closed. Close calls hooks in the
// order of the onClose calls.
func onClose(body io.ReadCloser, f func()) io.ReadCloser {
	b, ok := body.(*hookedBody)
	if !ok {
		b = &hookedBody{ReadCloser: body}
		b.hooks = b.inline[:0]
	}
	b.hooks = append(b.hooks, f)
	return b
}

func (b *hookedBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	err := b.ReadCloser.Close()
	for _, f := range b.hooks {
		f()
	}
	return err
}

// countingReader counts the bytes that are read from a request body. Another
// goroutine may call count at the same time.
type countingReader struct {
	r io.Reader
	n atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// count returns the number of bytes read, which is zero for a nil countingReader.
func (c *countingReader) count() int64 {
	if c == nil {
		return 0
	}
	return c.n.Load()
}

// Bodyless reports whether an answer with the given status to a request with the
// given method has no body, whatever length its header declares.
func Bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
