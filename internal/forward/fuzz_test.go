package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// FuzzHeads decodes arbitrary bytes as each kind of head. The fields of an accepted
// head are in range, and an accepted request head can be encoded and decoded again.
// A rejected head gives a PeerProtocol error.
func FuzzHeads(f *testing.F) {
	r := &pipeline.Request{ID: "id", Method: "GET", URI: "/s/k", ContentLength: -1, Key: []byte("k")}
	head, err := codec.Marshal(newRequestHead(r, time.Second))
	assert.NilError(f, err)
	f.Add(head)
	head, err = encodeResponse(&pipeline.Response{Status: 200, Truth: errkind.Ran, ContentLength: 3})
	assert.NilError(f, err)
	f.Add(head)
	f.Add(encodeError(errkind.New(errkind.NotOwner, "slice")))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRequest(data, 1); err == nil {
			assert.Assert(t, r.ContentLength >= -1 && r.Deadline >= r.Arrived && r.Deadline.Sub(1) <= maxRemaining)
			reencoded, err := codec.Marshal(newRequestHead(r, r.Deadline.Sub(r.Arrived)))
			assert.NilError(t, err)
			_, err = decodeRequest(reencoded, 1)
			assert.NilError(t, err)
		} else {
			assert.Equal(t, errkind.Of(err), errkind.PeerProtocol)
		}
		if resp, err := decodeResponse(data); err == nil {
			assert.Assert(t, resp.Status >= minStatus && resp.Status <= maxStatus && resp.ContentLength >= -1)
		} else {
			assert.Equal(t, errkind.Of(err), errkind.PeerProtocol)
		}
		e := errkind.As(decodeError(data))
		assert.Assert(t, e.Truth != "" || e.Kind == errkind.OutcomeUnknown)
		assert.Assert(t, e.Answer().Status >= 400)
	})
}
