package record

import (
	"errors"
	"fmt"

	"github.com/burdockfold/burdockfold/internal/codec"
)

// kind is the tag that identifies the type of an encoded body. Tags are stored in
// the stream and never reused.
type kind uint8

const (
	kindMemberJoined kind = iota + 1
	kindMemberLeft
	kindBackendChanged
	kindLeaderElected
	kindLeaderAlive
	kindGroupSet
	kindGroupClaimed
	kindAssigned
	kindHotKeySet
	kindConfigChanged
	kindSnapshotChunk
)

// wireRecord is the encoded form of an Envelope: its fields and the tagged body.
type wireRecord struct {
	Envelope
	Kind kind   `codec:"k"`
	Body []byte `codec:"b"`
}

// DecodeReason is the reason why a record could not be decoded.
type DecodeReason uint8

// Reasons of a DecodeError.
const (
	Malformed      DecodeReason = iota // not valid CBOR, or not of the expected form
	UnknownVersion                     // encoding version other than Version
	UnknownKind                        // body type that this program does not know
)

// String returns the name of the reason in logs.
func (r DecodeReason) String() string {
	switch r {
	case UnknownVersion:
		return "unknown_version"
	case UnknownKind:
		return "unknown_kind"
	default:
		return "malformed"
	}
}

// DecodeError is the error for a record that this program cannot read.
type DecodeError struct {
	Reason DecodeReason
	Err    error
}

// Error returns the reason and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("record: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// errUnknownBody is the error for an envelope without a body of a known type.
var errUnknownBody = errors.New("record: envelope has no body of a known type")

// Encode returns the canonical encoding of e. It always writes Version, whatever
// e.Version is.
func Encode(e Envelope) ([]byte, error) {
	k := kindOf(e.Body)
	if k == 0 {
		return nil, errUnknownBody
	}
	body, err := codec.Marshal(e.Body)
	if err != nil {
		return nil, fmt.Errorf("record: encode body: %w", err)
	}
	e.Version = Version
	data, err := codec.Marshal(&wireRecord{Envelope: e, Kind: k, Body: body})
	if err != nil {
		return nil, fmt.Errorf("record: encode: %w", err)
	}
	return data, nil
}

// Decode decodes a record that Encode encoded. All its errors are of type
// *DecodeError.
func Decode(data []byte) (Envelope, error) {
	var w wireRecord
	if err := codec.Unmarshal(data, &w); err != nil {
		return Envelope{}, &DecodeError{Reason: Malformed, Err: err}
	}
	if w.Version != Version {
		return Envelope{}, &DecodeError{Reason: UnknownVersion, Err: fmt.Errorf("version %d", w.Version)}
	}
	body := newBody(w.Kind)
	if body == nil {
		return Envelope{}, &DecodeError{Reason: UnknownKind, Err: fmt.Errorf("kind %d", w.Kind)}
	}
	if err := codec.Unmarshal(w.Body, body); err != nil {
		return Envelope{}, &DecodeError{Reason: Malformed, Err: err}
	}
	w.Envelope.Body = body
	return w.Envelope, nil
}

// kindOf returns the kind of b, or zero if b is nil or of an unknown type.
func kindOf(b Body) kind {
	switch b.(type) {
	case *MemberJoined:
		return kindMemberJoined
	case *MemberLeft:
		return kindMemberLeft
	case *BackendChanged:
		return kindBackendChanged
	case *LeaderElected:
		return kindLeaderElected
	case *LeaderAlive:
		return kindLeaderAlive
	case *GroupSet:
		return kindGroupSet
	case *GroupClaimed:
		return kindGroupClaimed
	case *Assigned:
		return kindAssigned
	case *HotKeySet:
		return kindHotKeySet
	case *ConfigChanged:
		return kindConfigChanged
	case *SnapshotChunk:
		return kindSnapshotChunk
	default:
		return 0
	}
}

// newBody returns an empty body of the kind k, or nil if k is unknown.
func newBody(k kind) Body {
	switch k {
	case kindMemberJoined:
		return &MemberJoined{}
	case kindMemberLeft:
		return &MemberLeft{}
	case kindBackendChanged:
		return &BackendChanged{}
	case kindLeaderElected:
		return &LeaderElected{}
	case kindLeaderAlive:
		return &LeaderAlive{}
	case kindGroupSet:
		return &GroupSet{}
	case kindGroupClaimed:
		return &GroupClaimed{}
	case kindAssigned:
		return &Assigned{}
	case kindHotKeySet:
		return &HotKeySet{}
	case kindConfigChanged:
		return &ConfigChanged{}
	case kindSnapshotChunk:
		return &SnapshotChunk{}
	default:
		return nil
	}
}
