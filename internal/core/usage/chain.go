package usage

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// signingContext precedes the signed bytes, so that a signature of a statement
// is never valid for anything else that the same key signs.
const signingContext = "burdockfold usage v1\n"

// encode returns the canonical encoding of a statement.
func encode(s Statement) ([]byte, error) {
	if len(s.Lines) == 0 {
		s.Lines = nil
	}
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	return data, nil
}

func signed(encoded []byte) []byte { return append([]byte(signingContext), encoded...) }

// Chain builds the statements of one member, each linked to the one before by
// its SHA-256. It is not safe for concurrent use.
type Chain struct {
	member ident.Member
	region ident.Region
	key    ed25519.PrivateKey
	last   uint64 // sequence of the last statement
	prev   [sha256.Size]byte
}

// NewChain returns the empty chain of a member that signs with key.
func NewChain(member ident.Member, region ident.Region, key ed25519.PrivateKey) *Chain {
	return &Chain{member: member, region: region, key: key}
}

// SignNext signs the statement of the interval from, to in Unix milliseconds.
func (c *Chain) SignNext(from, to int64, lines []Line) (SignedStatement, error) {
	s := Statement{
		Member: c.member, Region: c.region, Sequence: c.last + 1,
		From: from, To: to, Prev: c.prev, Lines: lines,
	}
	data, err := encode(s)
	if err != nil {
		return SignedStatement{}, err
	}
	c.last++
	c.prev = sha256.Sum256(data)
	return SignedStatement{Statement: s, Signature: ed25519.Sign(c.key, signed(data))}, nil
}
