package hop

import (
	"testing"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// The head of a request or answer from a peer is decoded or refused, whatever it holds.
func FuzzHeads(f *testing.F) {
	now := ident.Instant(time.Hour)
	request, _, err := encodeRequest(&Request{ID: "a", Method: "GET", URI: "/", Header: []Field{{"N", "v"}}, Key: 7, Deadline: now.Add(time.Second)}, now, inlineBytes)
	if err != nil {
		f.Fatal(err)
	}
	answer, _, err := encodeAnswer(&Answer{Status: 200, Body: []byte("b"), Failure: errkind.New(errkind.NotOwner, "x"), Advisory: &advisory.Advisory{Limit: 2, Leaving: true}}, now, inlineBytes)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Add(answer)
	f.Fuzz(func(t *testing.T, head []byte) {
		if r, _, err := decodeRequest(head, now); err == nil && r.TimeLeft(now) > maxPeerDuration {
			t.Fatalf("%s left", r.TimeLeft(now))
		}
		a, _, err := decodeAnswer(head, now)
		if err == nil && (a.Load.LinkWait < 0 || a.Load.LinkWait > maxPeerDuration) {
			t.Fatalf("a wait of %s", a.Load.LinkWait)
		}
		if err == nil && a.Failure != nil {
			_ = a.Failure.Answer()
			_ = a.Failure.Kind.String()
		}
	})
}
