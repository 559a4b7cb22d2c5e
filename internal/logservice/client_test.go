package logservice

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/standin/logserver"
	"github.com/burdockfold/burdockfold/internal/standin/rawserver"
)

// TestMain passes over the cleaner of fasthttp's worker pool, which ends by
// itself seconds after its server.
func TestMain(m *testing.M) {
	cleaner := "github.com/valyala/fasthttp.(*workerPool).Start.func2"
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(cleaner))
}

const testStream Stream = "test/stream"

func startLog(t *testing.T, f logserver.Faults) (*logserver.Server, *Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := logserver.New(logserver.Config{Seed: 1, Faults: f})
	g := duty.NewGroup(context.Background())
	g.Go("serve", func(context.Context) error { return srv.Serve(ln) })
	c, err := NewClient(ClientConfig{
		BaseURL: "http://" + ln.Addr().String(), Timeout: time.Minute,
		PollTime: 20 * time.Millisecond, RetryTime: 300 * time.Millisecond,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		assert.NilError(t, srv.Close())
		assert.NilError(t, g.Wait())
	})
	return srv, c
}

func batch(records ...string) [][]byte {
	var out [][]byte
	for _, r := range records {
		out = append(out, []byte(r))
	}
	return out
}

// TestReadsWhatWasAppended compares the client and the server with a slice.
func TestReadsWhatWasAppended(t *testing.T) {
	_, c := startLog(t, logserver.Faults{})
	ctx := context.Background()
	var model [][]byte
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.SliceOf(rapid.Byte()), 1, 5).Draw(t, "records")
		first, err := c.Append(ctx, testStream, records)
		assert.NilError(t, err)
		assert.Equal(t, first, ident.Offset(len(model)))
		model = append(model, records...)
		from := rapid.IntRange(0, len(model)-1).Draw(t, "from")
		limit := rapid.IntRange(1, 10).Draw(t, "limit")
		entries, err := c.Read(ctx, testStream, ident.Offset(from), limit)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), min(limit, len(model)-from))
		for i, e := range entries {
			assert.Equal(t, e.Offset, ident.Offset(from+i))
			assert.Equal(t, string(e.Data), string(model[from+i]))
		}
		b, err := c.Bounds(ctx, testStream)
		assert.NilError(t, err)
		assert.Equal(t, b, Bounds{Next: ident.Offset(len(model))})
	})
}

// TestAppendOutcome has one case for each way in which an append can fail, and
// checks the claim against the records that the server has.
func TestAppendOutcome(t *testing.T) {
	cases := []struct {
		name    string
		faults  logserver.Faults
		want    error
		written int
	}{
		{"answered", logserver.Faults{}, nil, 2},
		{"down", logserver.Faults{Down: true}, ErrUnavailable, 0},
		{"answer lost", logserver.Faults{LoseAnswers: 1}, ErrOutcomeUnknown, 2},
		{"request lost", logserver.Faults{LoseRequests: 1}, ErrOutcomeUnknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv, c := startLog(t, tc.faults)
			_, err := c.Append(context.Background(), testStream, batch("a", "b"))
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			assert.Equal(t, len(srv.Entries(string(testStream))), tc.written)
		})
	}
}

func TestAppendTimeoutIsUnknown(t *testing.T) {
	srv, c := startLog(t, logserver.Faults{})
	_, err := c.Append(context.Background(), testStream, batch("a")) // opens the connection
	assert.NilError(t, err)
	assert.NilError(t, srv.SetFaults(logserver.Faults{SlowMS: time.Hour.Milliseconds()}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = c.Append(ctx, testStream, batch("b"))
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	c, err := NewClient(ClientConfig{BaseURL: "http://" + ln.Addr().String(), RetryTime: time.Millisecond})
	assert.NilError(t, err)
	_, err = c.Append(context.Background(), testStream, batch("a"))
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	_, err = c.Bounds(context.Background(), testStream)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
}

// TestFailedWriteIsUnavailable closes the sending side of the pooled connection.
func TestFailedWriteIsUnavailable(t *testing.T) {
	srv, c := startLog(t, logserver.Faults{})
	_, err := c.Append(context.Background(), testStream, batch("a"))
	assert.NilError(t, err)
	assert.NilError(t, c.conns.idle[0].conn.Conn.(*net.TCPConn).CloseWrite())
	_, err = c.Append(context.Background(), testStream, batch("b"))
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	assert.Equal(t, len(srv.Entries(string(testStream))), 1)
}

func TestReadWaitsForEntry(t *testing.T) {
	srv, c := startLog(t, logserver.Faults{ReadStall: true})
	c.cfg.PollTime = time.Minute
	g := duty.NewGroup(context.Background())
	g.Go("append", func(ctx context.Context) error {
		if _, err := c.Append(ctx, testStream, batch("late")); err != nil {
			return err
		}
		return srv.SetFaults(logserver.Faults{})
	})
	entries, err := c.Read(context.Background(), testStream, 0, 10)
	assert.NilError(t, err)
	assert.Equal(t, string(entries[0].Data), "late")
	assert.NilError(t, g.Wait())
}

func TestReadEndsWithContext(t *testing.T) {
	srv, c := startLog(t, logserver.Faults{ReadStall: true})
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(20*time.Millisecond, cancel)
	defer timer.Stop()
	_, err := c.Read(ctx, testStream, 0, 10)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.NilError(t, srv.SetFaults(logserver.Faults{}))
}

func TestReadRetriesUntilServiceReturns(t *testing.T) {
	srv, c := startLog(t, logserver.Faults{Down: true})
	c.cfg.RetryTime = time.Minute
	timer := time.AfterFunc(100*time.Millisecond, func() { _ = srv.SetFaults(logserver.Faults{}) })
	defer timer.Stop()
	_, err := c.Bounds(context.Background(), testStream)
	assert.NilError(t, err)
}

func TestRetention(t *testing.T) {
	srv, c := startLog(t, logserver.Faults{RetainRecords: 3})
	ctx := context.Background()
	_, err := c.Append(ctx, testStream, batch("a", "b", "c", "d", "e"))
	assert.NilError(t, err)
	b, err := c.Bounds(ctx, testStream)
	assert.NilError(t, err)
	assert.Equal(t, b, Bounds{Oldest: 2, Next: 5})
	_, err = c.Read(ctx, testStream, 1, 10)
	assert.Assert(t, errors.Is(err, ErrTruncated), "%v", err)
	srv.Truncate(0)
	entries, err := c.Read(ctx, testStream, 5, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
}

func FuzzDecodeReadAnswer(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte, from uint64, limit uint8) {
		entries, err := decodeReadAnswer(body, ident.Offset(from), int(limit))
		if err != nil {
			return
		}
		assert.Assert(t, len(entries) <= int(limit))
		next := ident.Offset(from)
		for _, e := range entries {
			assert.Assert(t, e.Offset >= next)
			next = e.Offset + 1
		}
	})
}

func FuzzDecodeAppendAndBoundsAnswer(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = decodeAppendAnswer(body)
		if b, err := decodeBoundsAnswer(body); err == nil {
			assert.Assert(t, b.Oldest <= b.Next)
		}
	})
}

// A spoilt head is no answer, and does not say that nothing was appended.
func TestAnswerWithSpoiltHeadIsUnknown(t *testing.T) {
	addr, answers := rawserver.Start(t)
	c, err := NewClient(ClientConfig{BaseURL: "http://" + addr, RetryTime: time.Millisecond})
	assert.NilError(t, err)
	defer c.Close()
	for _, start := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 503 Down\r\nX : y\r\n", "HTTP/1.1 200 OK\r\n\n", "HTTP/1.1 503 Down\r\nContent-Length: 2\r\n"} {
		answers <- start + "Connection: close\r\nContent-Length: 12\r\n\r\n{\"offset\":0}"
		_, err = c.Append(context.Background(), testStream, batch("a"))
		assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%q: %v", start, err)
	}
}
