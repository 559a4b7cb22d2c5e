package origin

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A second copy of an answer arrives when the next request waits on the connection, in two
// parts that are split at every byte. The next request gets its own answer.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	own := strings.Replace(okAnswer, "Id: a", "Id: b", 1)
	for _, copied := range []string{
		okAnswer,
		"HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + okAnswer,
	} {
		for split := range len(copied) {
			addr := startCopyingServer(t, copied, split, own)
			client := NewClient(names, 2, wallClock{})
			first := client.Do(context.Background(), Server{Addr: addr, ID: "i"}, newRequest("a"))
			assert.Assert(t, first.Failure == nil, "%v", first.Failure)
			second := newRequest("b")
			second.Deadline = wallClock{}.Now().Add(2 * time.Second)
			a := client.Do(context.Background(), Server{Addr: addr, ID: "i"}, second)
			assert.Assert(t, a.Failure == nil, "split at %d: %v", split, a.Failure)
			assert.Equal(t, string(a.Body), "hi")
			client.Close()
		}
	}
}

// startCopyingServer starts a server that answers the first request on a connection and,
// when the second one has come, sends a copied answer in two parts before its own.
func startCopyingServer(t *testing.T, copied string, split int, own string) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = c.Write([]byte(okAnswer))
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = c.Write([]byte(copied[:split]))
		time.Sleep(time.Millisecond)
		_, _ = c.Write([]byte(copied[split:] + own))
		_, _ = http.ReadRequest(r)
	}()
	return ln.Addr().String()
}
