// Package certtest issues certificates for tests. They are valid for one hour.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lifetime is the validity period of authorities and certificates.
const lifetime = time.Hour

// Authority is a certificate authority that signs the certificates of a test.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files holds the paths of a certificate, its key and its authority, in PEM.
type Files struct{ Cert, Key, CA string }

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &Authority{cert: cert, key: key}
}

// Issue writes a certificate with the common name name, its key and the certificate
// of the authority into dir, replacing files that an earlier call wrote there.
func (a *Authority) Issue(t testing.TB, dir, name string) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(lifetime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	f := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	writePEM(t, f.Cert, "CERTIFICATE", der)
	writePEM(t, f.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, f.CA, "CERTIFICATE", a.cert.Raw)
	return f
}

// writePEM writes der to file as a PEM block of the given type.
func writePEM(t testing.TB, file, blockType string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	assert.NilError(t, os.WriteFile(file, data, 0o600))
}
