// Package rawserver is a stand-in server that sends the bytes of a test as its answers, broken
// ones too.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Start starts a server that answers one request on each connection, with the next of the texts
// that are sent to it. It reads only the head of the request: the end of the connection resets a
// long body. The server stops at the end of the test.
func Start(t testing.TB) (addr string, answers chan<- string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	texts := make(chan string, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(<-texts))
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String(), texts
}
