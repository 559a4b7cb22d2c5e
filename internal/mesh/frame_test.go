package mesh

import (
	"testing"

	"github.com/ugorji/go/codec"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// FuzzFrames checks that each accepted frame encodes to the same bytes again
// and is valid CBOR of the documented layout.
func FuzzFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, message []byte) {
		for rest := message; len(rest) > 0; {
			fr, next, err := nextFrame(rest)
			if err != nil {
				return
			}
			used := rest[:len(rest)-len(next)]
			assert.DeepEqual(t, appendFrame(nil, fr.kind, fr.stream, fr.payload), used)
			var array []any
			assert.NilError(t, codec.NewDecoderBytes(used, new(codec.CborHandle)).Decode(&array))
			assert.Equal(t, array[0], uint64(fr.kind))
			assert.Equal(t, array[1], uint64(fr.stream))
			_, _ = fr.endLength()
			_, _ = fr.windowCredit()
			_, _, _ = fr.reset()
			rest = next
		}
	})
}

// FuzzHello checks that an accepted hello has all required fields.
func FuzzHello(f *testing.F) {
	f.Fuzz(func(t *testing.T, message []byte) {
		if h, err := decodeHello(message); err == nil {
			assert.Assert(t, h.Version > 0 && h.Window > 0 && !h.Member.IsZero())
		}
	})
}

// TestHelloOfLaterVersion checks that a hello with an unknown field is
// accepted.
func TestHelloOfLaterVersion(t *testing.T) {
	later := struct {
		Version uint16       `codec:"v"`
		Cluster string       `codec:"c"`
		Member  ident.Member `codec:"m"`
		Window  uint32       `codec:"w"`
		Added   []string     `codec:"z"`
	}{9, "c", ident.Member{Host: "h", Incarnation: 2}, 1024, []string{"x"}}
	var payload []byte
	assert.NilError(t, codec.NewEncoderBytes(&payload, new(codec.CborHandle)).Encode(later))
	h, err := decodeHello(appendFrame(nil, frameHello, 0, payload))
	assert.NilError(t, err)
	assert.Equal(t, h, hello{Version: 9, Cluster: "c", Member: later.Member, Window: 1024})
}
