package hop

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

func TestRequestSurvivesTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Request{
			ID: rapid.String().Draw(t, "id"), Method: "POST", Host: "h", URI: "/a?b",
			Header: []Field{{"A", rapid.String().Draw(t, "value")}},
			Body:   rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "body"),
			Key:    rapid.IntRange(NoKey, 65535).Draw(t, "key"), Service: "s", Route: "r", Caller: "c",
			Suspicion: rapid.IntRange(0, maxSuspicion).Draw(t, "suspicion"),
		}
		now := ident.Instant(1)
		r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "left")) * time.Millisecond)
		head, rest, err := encodeRequest(r, now, inlineBytes)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
		if rapid.Bool().Draw(t, "target") {
			r.TargetTime = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "target_left")) * time.Millisecond)
			head, _, err = encodeRequest(r, now, inlineBytes)
			assert.NilError(t, err)
		}
		got, size, err := decodeRequest(head, now)
		assert.NilError(t, err)
		assert.Equal(t, size, 0)
		assert.DeepEqual(t, got, r)
	})
}

func TestAnswerSurvivesTheWire(t *testing.T) {
	a := &Answer{Status: 200, Header: []Field{{"A", "b"}}, Body: []byte("x"), ReachedBackend: true, Load: Load{1, 2, 3, 4 * time.Millisecond, 4.5, 1.25}, ServiceTime: 5 * time.Millisecond, Suspicion: 2}
	head, _, err := encodeAnswer(a, 1, inlineBytes)
	assert.NilError(t, err)
	got, _, err := decodeAnswer(head, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, a)

	head, _, err = encodeAnswer(&Answer{Load: Load{Room: -3, Pace: 1e9}}, 1, inlineBytes) // a peer's statement is bounded
	assert.NilError(t, err)
	got, _, err = decodeAnswer(head, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Load, Load{Pace: maxPacePercent / 100})

	head, _, err = encodeAnswer(FailedAnswer(errkind.New(errkind.NotOwner, "key %d", 3)), 1, inlineBytes)
	assert.NilError(t, err)
	got, _, err = decodeAnswer(head, 1)
	assert.NilError(t, err)
	assert.Equal(t, got.Failure.Kind, errkind.NotOwner)
	assert.Equal(t, got.Failure.Answer().Truth, errkind.NotRun)
}

func TestLongBodyFollowsTheHead(t *testing.T) {
	r := &Request{Body: make([]byte, inlineBytes+1), Key: NoKey}
	head, rest, err := encodeRequest(r, 1, inlineBytes)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), inlineBytes+1)
	_, size, err := decodeRequest(head, 1)
	assert.NilError(t, err)
	assert.Equal(t, size, inlineBytes+1)
}

// slowStream is a stream whose peer takes the answer only when it is released.
type slowStream struct {
	mesh.ServerStream
	head     []byte
	released chan struct{}
}

func (s *slowStream) Head() []byte { return s.head }

func (s *slowStream) Respond([]byte, io.Reader) error {
	<-s.released
	return nil
}

// A daemon that stops must not end before its answers have reached the daemons that asked.
func TestRequestIsOpenUntilItsAnswerIsSent(t *testing.T) {
	clock := ident.NewMonotonicClock()
	head, _, err := encodeRequest(&Request{ID: "a", Method: "GET", URI: "/", Key: NoKey, Deadline: clock.Now().Add(time.Minute)}, clock.Now(), inlineBytes)
	assert.NilError(t, err)
	s := NewServer(answerAtOnce{}, &BodyBudget{}, clock, zap.NewNop())
	stream := &slowStream{head: head, released: make(chan struct{})}
	var served sync.WaitGroup
	served.Go(func() { s.HandleStream(context.Background(), ident.Member{}, stream) })
	for s.OpenRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.OpenRequests(), int64(1))
	close(stream.released)
	served.Wait()
	assert.Equal(t, s.OpenRequests(), int64(0))
}

type answerAtOnce struct{}

func (answerAtOnce) Serve(context.Context, *Request) *Answer { return &Answer{Status: 200} }

// statusAnswer implements Handler.
type statusAnswer int

func (s statusAnswer) Serve(context.Context, *Request) *Answer { return &Answer{Status: int(s)} }

// An answer of another daemon whose status is none is a fault of the protocol.
func TestAnswerOfNoStatusIsRejected(t *testing.T) {
	clock := ident.NewMonotonicClock()
	for _, status := range []int{-200, 0, 99, 101, 199, 600, 2000, 599} {
		a, _ := startMesh(t, "a", nil)
		b, to := startMesh(t, "b", nil)
		b.SetHandlers(noControl{}, NewServer(statusAnswer(status), &BodyBudget{}, clock, zap.NewNop()))
		got := NewClient(a, clock).Send(context.Background(), to, &Request{Key: NoKey, Deadline: clock.Now().Add(time.Second)})
		if status == 599 {
			assert.Assert(t, got.Failure == nil, "%v", got.Failure)
			continue
		}
		assert.Assert(t, got.Failure != nil, "status %d", status)
		assert.Equal(t, got.Failure.Kind, errkind.PeerProtocol)
		assert.Equal(t, got.Failure.Answer().Truth, errkind.Unknown)
	}
}

// fieldAnswer implements Handler.
type fieldAnswer Field

func (f fieldAnswer) Serve(context.Context, *Request) *Answer {
	return &Answer{Status: 200, Header: []Field{Field(f)}}
}

// A daemon of an earlier version may pass on the spoilt head of a server's answer.
func TestAnswerWithSpoiltFieldIsRejected(t *testing.T) {
	clock := ident.NewMonotonicClock()
	for field, valid := range map[Field]bool{
		{"X-A", "a\tb \xff"}: true, {"X-A", ""}: true, {"!#$%&'*+-.^_`|~09azAZ", "a"}: true,
		{"X A", "a"}: false, {"X-A ", "a"}: false, {"", "a"}: false, {"X\x01", "a"}: false, {"X\nB", "a"}: false, {"X\x80", "a"}: false,
		{"X-A", "a\r\nX-B: b"}: false, {"X-A", "a\x00"}: false, {"X-A", "a\nb"}: false,
	} {
		a, _ := startMesh(t, "a", nil)
		b, to := startMesh(t, "b", nil)
		b.SetHandlers(noControl{}, NewServer(fieldAnswer(field), &BodyBudget{}, clock, zap.NewNop()))
		got := NewClient(a, clock).Send(context.Background(), to, &Request{Key: NoKey, Deadline: clock.Now().Add(time.Second)})
		if valid {
			assert.Assert(t, got.Failure == nil, "%q: %v", field, got.Failure)
			continue
		}
		assert.Assert(t, got.Failure != nil, "%q", field)
		assert.Equal(t, got.Failure.Kind, errkind.PeerProtocol)
		assert.Equal(t, got.Failure.Answer().Truth, errkind.Unknown)
	}
}
