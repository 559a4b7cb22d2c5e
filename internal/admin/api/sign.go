package api

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
)

// signingContext precedes the signed bytes, so that a signature of a request is
// never valid for anything else that the same key signs.
const signingContext = "burdockfold request v1\n"

// nonceSize is the length of a nonce in bytes.
const nonceSize = 16

// Proof shows who sent a request, and when. It is the body of requests that
// change something and carry no signed change.
type Proof struct {
	KeyName   string `json:"key_name"`
	TimeMS    int64  `json:"time_ms"` // Unix milliseconds
	Nonce     []byte `json:"nonce"`
	Signature []byte `json:"signature"` // Ed25519
}

// signedRequest is what a Proof's signature covers.
type signedRequest struct {
	Method  string `codec:"m"`
	Path    string `codec:"p"`
	KeyName string `codec:"k"`
	TimeMS  int64  `codec:"t"`
	Nonce   []byte `codec:"n"`
}

// NewProof signs a request by a tenant's key.
func NewProof(method, path, keyName string, key ed25519.PrivateKey, now time.Time) (Proof, error) {
	p := Proof{KeyName: keyName, TimeMS: now.UnixMilli(), Nonce: make([]byte, nonceSize)}
	if _, err := rand.Read(p.Nonce); err != nil {
		return Proof{}, fmt.Errorf("api: nonce: %w", err)
	}
	data, err := p.signingBytes(method, path)
	if err != nil {
		return Proof{}, err
	}
	p.Signature = ed25519.Sign(key, data)
	return p, nil
}

func (p Proof) signingBytes(method, path string) ([]byte, error) {
	data, err := codec.Marshal(signedRequest{Method: method, Path: path, KeyName: p.KeyName, TimeMS: p.TimeMS, Nonce: p.Nonce})
	if err != nil {
		return nil, fmt.Errorf("api: %w", err)
	}
	return append([]byte(signingContext), data...), nil
}

// Verify reports whether the key signed the request.
func (p Proof) Verify(method, path string, key ed25519.PublicKey) bool {
	data, err := p.signingBytes(method, path)
	if err != nil || len(p.Nonce) != nonceSize || len(key) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(key, data, p.Signature)
}

// NonceKey identifies the proof among those accepted.
func (p Proof) NonceKey() [sha256.Size]byte {
	return sha256.Sum256(append([]byte(p.KeyName+"\n"), p.Nonce...))
}
