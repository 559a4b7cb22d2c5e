package mesh

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// A WebSocket message is a CBOR sequence (RFC 8742) of frames. A frame is a
// CBOR array of three elements: its type, its stream ID, and a byte string with
// its payload. Each element is always encoded with the width shown below, so
// that nextFrame can find frame boundaries without a general CBOR decoder:
//
//	0x83 type(1 byte, below 24) 0x1a stream(4 bytes) 0x5a length(4 bytes) payload
const (
	frameHeaderBytes = 12

	cborArray3   = 0x83
	cborUint32   = 0x1a
	cborBytes32  = 0x5a
	cborMaxSmall = 23 // greatest integer that CBOR encodes in the initial byte

	offsetType    = 1
	offsetStream  = 2
	offsetPayload = 7
)

// frameType is the purpose of a frame. The reader skips frames of a type above
// the greatest that this build knows.
type frameType uint8

const (
	frameHello   frameType = iota + 1 // the first frame of each side: a CBOR hello
	frameOpen                         // opens a stream; the encoded head of the request
	frameHead                         // the encoded head of the answer
	frameData                         // a part of a body
	frameEnd                          // the end mark of a body: its length as 8 bytes
	frameReset                        // ends a stream: a reset code and a reason
	frameWindow                       // grants credit to the sender of a body: bytes as 4 bytes
	frameControl                      // a CBOR Message
	framePing                         // asks for a pong
	framePong                         // answers a ping
	frameTypeEnd
)

const (
	endBytes    = 8
	windowBytes = 4
)

// resetCode says why a stream was reset.
type resetCode uint8

const (
	resetCut     resetCode = iota // the outcome of the request is unknown
	resetReason                   // the peer's handler gave an encoded reason
	resetRefused                  // the peer had too many streams; no handler saw this one
)

// frame is a decoded frame. Its payload is a subslice of the message that held
// the frame.
type frame struct {
	kind    frameType
	stream  uint32
	payload []byte
}

var errMalformed = errors.New("mesh: malformed frame")

// appendHeader appends the header of a frame with a payload of n bytes.
func appendHeader(dst []byte, kind frameType, stream uint32, n int) []byte {
	dst = append(dst, cborArray3, byte(kind), cborUint32)
	dst = binary.BigEndian.AppendUint32(dst, stream)
	dst = append(dst, cborBytes32)
	return binary.BigEndian.AppendUint32(dst, uint32(n))
}

func appendFrame(dst []byte, kind frameType, stream uint32, payload []byte) []byte {
	dst = appendHeader(dst, kind, stream, len(payload))
	return append(dst, payload...)
}

func appendEnd(dst []byte, stream uint32, length uint64) []byte {
	dst = appendHeader(dst, frameEnd, stream, endBytes)
	return binary.BigEndian.AppendUint64(dst, length)
}

func appendWindow(dst []byte, stream uint32, credit uint32) []byte {
	dst = appendHeader(dst, frameWindow, stream, windowBytes)
	return binary.BigEndian.AppendUint32(dst, credit)
}

func appendReset(dst []byte, stream uint32, code resetCode, reason []byte) []byte {
	dst = appendHeader(dst, frameReset, stream, 1+len(reason))
	dst = append(dst, byte(code))
	return append(dst, reason...)
}

// nextFrame decodes the first frame of a message and returns it with the rest
// of the message.
func nextFrame(p []byte) (f frame, rest []byte, err error) {
	if len(p) < frameHeaderBytes {
		return frame{}, nil, fmt.Errorf("%w: %d bytes left", errMalformed, len(p))
	}
	if p[0] != cborArray3 || p[offsetType] > cborMaxSmall ||
		p[offsetStream] != cborUint32 || p[offsetPayload] != cborBytes32 {
		return frame{}, nil, fmt.Errorf("%w: header % x", errMalformed, p[:frameHeaderBytes])
	}
	n := binary.BigEndian.Uint32(p[offsetPayload+1:])
	body := p[frameHeaderBytes:]
	if uint64(n) > uint64(len(body)) {
		return frame{}, nil, fmt.Errorf("%w: payload of %d bytes, %d left", errMalformed, n, len(body))
	}
	f = frame{
		kind:    frameType(p[offsetType]),
		stream:  binary.BigEndian.Uint32(p[offsetStream+1:]),
		payload: body[:n],
	}
	return f, body[n:], nil
}

// endLength returns the length of the body that an end mark carries.
func (f frame) endLength() (uint64, error) {
	if len(f.payload) != endBytes {
		return 0, fmt.Errorf("%w: end mark of %d bytes", errMalformed, len(f.payload))
	}
	return binary.BigEndian.Uint64(f.payload), nil
}

// windowCredit returns the credit, in bytes, that a window frame grants.
func (f frame) windowCredit() (int, error) {
	if len(f.payload) != windowBytes {
		return 0, fmt.Errorf("%w: window of %d bytes", errMalformed, len(f.payload))
	}
	return int(binary.BigEndian.Uint32(f.payload)), nil
}

// reset returns the code and the reason that a reset frame carries.
func (f frame) reset() (resetCode, []byte, error) {
	if len(f.payload) == 0 {
		return 0, nil, fmt.Errorf("%w: empty reset", errMalformed)
	}
	return resetCode(f.payload[0]), f.payload[1:], nil
}

// hello is the first frame that each side sends. Unknown fields are ignored, so
// that later versions can add fields.
type hello struct {
	Version uint16       `codec:"v"`
	Cluster string       `codec:"c"`
	Member  ident.Member `codec:"m"`
	Window  uint32       `codec:"w"` // initial credit in bytes for each stream to the sender of the hello
	Unpaced uint32       `codec:"u"` // Config.UnpacedBytes; if set, the initial credit is zero
}

// frame returns h encoded as a frame.
func (h hello) frame() ([]byte, error) {
	payload, err := codec.Marshal(h)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, frameHello, 0, payload), nil
}

// decodeHello decodes the first message of a peer.
func decodeHello(message []byte) (hello, error) {
	f, rest, err := nextFrame(message)
	if err != nil {
		return hello{}, err
	}
	if f.kind != frameHello || len(rest) > 0 {
		return hello{}, fmt.Errorf("%w: the first message is not a hello", errMalformed)
	}
	var h hello
	if err := codec.Unmarshal(f.payload, &h); err != nil {
		return hello{}, fmt.Errorf("mesh: hello: %w", err)
	}
	if h.Version == 0 || h.Window == 0 || h.Member.IsZero() {
		return hello{}, errors.New("mesh: hello: version, window or member is missing")
	}
	return h, nil
}
