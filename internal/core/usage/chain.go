package usage

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// signingContext is a prefix of the signed bytes. It prevents a signature of a
// statement from being valid for anything else that the same key signs.
const signingContext = "burdockfold usage v1\n"

// encodeStatement returns the canonical encoding of a statement.
func encodeStatement(s Statement) ([]byte, error) {
	if len(s.Lines) == 0 {
		s.Lines = nil
	}
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("usage: encode statement: %w", err)
	}
	return data, nil
}

// signingBytes returns the bytes that the signature of an encoded statement
// covers.
func signingBytes(encoded []byte) []byte { return append([]byte(signingContext), encoded...) }

// Chain creates the statements of one member. Each statement contains the SHA-256
// of the previous one. A Chain is not safe for concurrent use.
type Chain struct {
	member       ident.Member
	region       ident.Region
	key          ed25519.PrivateKey
	lastSequence uint64            // of the last statement; zero before the first
	lastHash     [sha256.Size]byte // of the last statement's encoding
}

// NewChain returns an empty chain for a member that signs with the given key.
func NewChain(member ident.Member, region ident.Region, key ed25519.PrivateKey) *Chain {
	return &Chain{member: member, region: region, key: key}
}

// SignNext creates and signs the next statement. It covers the interval between
// from and to, which are in Unix milliseconds.
func (c *Chain) SignNext(from, to int64, lines []Line) (SignedStatement, error) {
	s := Statement{
		Member: c.member, Region: c.region, Sequence: c.lastSequence + 1,
		From: from, To: to, Prev: c.lastHash, Lines: lines,
	}
	data, err := encodeStatement(s)
	if err != nil {
		return SignedStatement{}, err
	}
	c.lastSequence++
	c.lastHash = sha256.Sum256(data)
	return SignedStatement{Statement: s, Signature: ed25519.Sign(c.key, signingBytes(data))}, nil
}
