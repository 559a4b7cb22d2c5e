package mesh

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const benchPayload = 256 // bytes

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runBench calls f from 8 goroutines for each processor and reports the
// processor time of both ends together as cpu-ns/op.
func runBench(b *testing.B, f func(buf []byte)) {
	b.ReportAllocs()
	b.SetParallelism(8)
	before := processorTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		buf := make([]byte, 1024)
		for pb.Next() {
			f(buf)
		}
	})
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkMeshEcho sends small requests over the mesh, which the peer echoes.
func BenchmarkMeshEcho(b *testing.B) {
	from, to := startNode(b, "a", echo, nil), startNode(b, "b", echo, nil)
	head, payload := make([]byte, 200), make([]byte, benchPayload)
	runBench(b, func(buf []byte) {
		s, err := from.Open(context.Background(), to.peer, head, bytes.NewReader(payload))
		if err == nil {
			_, err = io.ReadFull(s.Body(), buf[:benchPayload])
			_ = s.Body().Close()
		}
		if err != nil {
			b.Error(err)
		}
	})
}

// BenchmarkMeshBody reads answers of 1 MiB, one after the other.
func BenchmarkMeshBody(b *testing.B) {
	const size = 1 << 20
	answer := func(_ context.Context, s ServerStream) { _ = s.Respond(nil, zeros(size)) }
	from, to := startNode(b, "a", echo, nil), startNode(b, "b", answer, nil)
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		s, err := from.Open(context.Background(), to.peer, nil, nil)
		assert.NilError(b, err)
		n, err := io.Copy(io.Discard, s.Body())
		assert.NilError(b, err)
		assert.Equal(b, n, int64(size))
		assert.NilError(b, s.Body().Close())
	}
}

// BenchmarkDirectEcho runs the exchange of BenchmarkMeshEcho over plain HTTP
// without the mesh.
func BenchmarkDirectEcho(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }}
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(b, srv.Serve(ln)) })
	client := &fasthttp.HostClient{Addr: ln.Addr().String()}
	payload := make([]byte, benchPayload)
	runBench(b, func([]byte) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://host/path")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(payload)
		if err := client.Do(req, resp); err != nil {
			b.Error(err)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	})
	client.CloseIdleConnections()
	assert.NilError(b, srv.Shutdown())
	wg.Wait()
}
