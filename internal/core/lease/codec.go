package lease

import (
	"fmt"

	"github.com/burdockfold/burdockfold/internal/codec"
)

// Type names of the messages on the wire.
const (
	renewName        = "lease.renew"
	renewReplyName   = "lease.renew-reply"
	claimRequestName = "lease.claim"
	claimReplyName   = "lease.claim-reply"
	lapsedName       = "lease.lapsed"
	resignName       = "lease.resign"
)

// EncodeMessage returns the type name and the encoding of m, which must be one of
// the message types of this package.
func EncodeMessage(m Message) (name string, data []byte, err error) {
	switch m.(type) {
	case *RenewRequest:
		name = renewName
	case *RenewReply:
		name = renewReplyName
	case *ClaimRequest:
		name = claimRequestName
	case *ClaimReply:
		name = claimReplyName
	case *LapseHint:
		name = lapsedName
	case *Resign:
		name = resignName
	default:
		return "", nil, fmt.Errorf("lease: encode message: unknown type %T", m)
	}
	data, err = codec.Marshal(m)
	if err != nil {
		return "", nil, fmt.Errorf("lease: encode %s: %w", name, err)
	}
	return name, data, nil
}

// DecodeMessage decodes a message of the named type. It is the inverse of
// EncodeMessage and returns an error for an unknown name or invalid data.
func DecodeMessage(name string, data []byte) (Message, error) {
	m, err := newMessage(name)
	if err != nil {
		return nil, err
	}
	if err := codec.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("lease: decode %s: %w", name, err)
	}
	return m, nil
}

// newMessage returns an empty message of the named type.
func newMessage(name string) (Message, error) {
	switch name {
	case renewName:
		return &RenewRequest{}, nil
	case renewReplyName:
		return &RenewReply{}, nil
	case claimRequestName:
		return &ClaimRequest{}, nil
	case claimReplyName:
		return &ClaimReply{}, nil
	case lapsedName:
		return &LapseHint{}, nil
	case resignName:
		return &Resign{}, nil
	default:
		return nil, fmt.Errorf("lease: decode message: unknown type name %q", name)
	}
}

// IsMessage reports whether name is the type name of a lease message.
func IsMessage(name string) bool {
	_, err := newMessage(name)
	return err == nil
}
