package origin

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// Whatever bytes a server sends, they are an answer or a failure, and a success carries
// the request's id and a signature.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer func() { _, _ = client.Close(), server.Close() }()
		var memory held.Memory
		conn := &httpconn.Conn{Conn: client, R: bufio.NewReader(bytes.NewReader(data)), W: bufio.NewWriter(client), WrittenBytes: 1}
		x := &exchange{names: &names, conn: conn, req: &hop.Request{ID: "a", Method: "GET"}, memory: &memory, ctx: context.Background()}
		a, _ := x.receive()
		if a.Failure == nil && a.Status < 300 && (!bytes.Contains(bytes.ToLower(data), []byte("signature")) || !bytes.Contains(data, []byte("a"))) {
			t.Fatalf("status %d from %q", a.Status, data)
		}
		a.Memory.Release()
		if total, _, answers := memory.Bytes(); total != 0 || answers != 0 {
			t.Fatalf("%d and %d bytes stay counted", total, answers)
		}
	})
}
