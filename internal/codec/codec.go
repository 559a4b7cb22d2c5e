// Package codec encodes and decodes messages and stored records as CBOR. The encoding is
// canonical: equal values have equal encodings. The decoder limits what it allocates in
// advance, turns panics into errors and rejects trailing data, so that it can read
// untrusted input. All functions are safe for concurrent use.
package codec

import (
	"fmt"
	"reflect"
	"sync"

	"github.com/ugorji/go/codec"
)

// maxInitialLength limits the number of elements that the decoder allocates before it
// has read their data.
const maxInitialLength = 1024

// handle is the CBOR configuration of all encoders and decoders.
var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	h.MaxInitLen = maxInitialLength
	h.StructToArray = false
	h.MapType = reflect.TypeOf(map[string]any(nil))
	return h
}

// encoders and decoders are pooled because the working memory of each is larger than
// most messages.
var (
	encoders = sync.Pool{New: func() any { return codec.NewEncoderBytes(nil, handle) }}
	decoders = sync.Pool{New: func() any { return codec.NewDecoderBytes(nil, handle) }}
)

// Marshal returns the canonical CBOR encoding of v.
func Marshal(v any) ([]byte, error) {
	e := encoders.Get().(*codec.Encoder)
	var out []byte
	e.ResetBytes(&out)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("codec: encode: %w", err)
	}
	encoders.Put(e)
	return out, nil
}

// Unmarshal decodes data into the value that v points to. It returns an error if data
// continues after the first value. A decoder that failed is not reused.
func Unmarshal(data []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("codec: decode: %v", r)
		}
	}()
	d := decoders.Get().(*codec.Decoder)
	d.ResetBytes(data)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("codec: decode: %w", err)
	}
	if n := d.NumBytesRead(); n != len(data) {
		return fmt.Errorf("codec: decode: %d bytes after the value", len(data)-n)
	}
	d.ResetBytes(nil)
	decoders.Put(d)
	return nil
}
