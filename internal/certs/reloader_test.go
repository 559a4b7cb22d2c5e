package certs

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/certs/certtest"
	"github.com/burdockfold/burdockfold/internal/duty"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newReloader issues a certificate with the given name, signed by a, in a new
// directory and returns a reloader for its files.
func newReloader(t *testing.T, a *certtest.Authority, name string) *Reloader {
	t.Helper()
	f := a.Issue(t, t.TempDir(), name)
	r, err := NewReloader(f.Cert, f.Key, f.CA, nil)
	assert.NilError(t, err)
	return r
}

// handshake performs a TLS handshake and returns, for each side, the common name
// of the certificate that the other side presented and the error.
func handshake(t *testing.T, server, client *tls.Config) (sawClient, sawServer string, serverErr, clientErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	b, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer b.Close()
	a, err := ln.Accept()
	assert.NilError(t, err)
	defer a.Close()
	s, c := tls.Server(a, server), tls.Client(b, client)
	g := duty.NewGroup(context.Background())
	g.Go("server", func(ctx context.Context) error {
		serverErr = s.HandshakeContext(ctx)
		return nil
	})
	clientErr = c.Handshake()
	assert.NilError(t, g.Wait())
	return peerName(s), peerName(c), serverErr, clientErr
}

// peerName returns the common name of the peer's certificate, or an empty string
// if the peer presented none.
func peerName(c *tls.Conn) string {
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

// Guards against a side that accepts a peer without a certificate or with one from
// an authority that it does not trust.
func TestBothSidesAreVerified(t *testing.T) {
	trustedCA, foreignCA := certtest.NewAuthority(t), certtest.NewAuthority(t)
	a, b := newReloader(t, trustedCA, "a"), newReloader(t, trustedCA, "b")
	untrusted := newReloader(t, foreignCA, "stranger")

	sawClient, sawServer, serverErr, clientErr := handshake(t, a.ServerTLS(), b.ClientTLS())
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, sawClient+sawServer, "ba")

	_, _, serverErr, _ = handshake(t, a.ServerTLS(), &tls.Config{InsecureSkipVerify: true})
	assert.ErrorContains(t, serverErr, "certificate")
	unverifiedClient := untrusted.ClientTLS()
	unverifiedClient.VerifyConnection = nil
	_, _, serverErr, _ = handshake(t, a.ServerTLS(), unverifiedClient)
	assert.ErrorContains(t, serverErr, "unknown authority")
	_, _, _, clientErr = handshake(t, untrusted.ServerTLS(), b.ClientTLS())
	assert.ErrorContains(t, clientErr, "unknown authority")
}

// Guards against a broken file replacing the version in force, and against new
// files that only apply after a restart.
func TestReplacedFilesApply(t *testing.T) {
	authority, dir := certtest.NewAuthority(t), t.TempDir()
	f := authority.Issue(t, dir, "old")
	core, logged := observer.New(zap.InfoLevel)
	r, err := NewReloader(f.Cert, f.Key, f.CA, zap.New(core))
	assert.NilError(t, err)
	g := duty.NewGroup(context.Background())
	g.Go("reload", r.Run)
	client := newReloader(t, authority, "client").ClientTLS()
	server := r.ServerTLS() // created before the files change

	assert.NilError(t, os.WriteFile(f.Cert, []byte("broken"), 0o600))
	await(func() bool { return logged.FilterMessage("certs_reload_failed").Len() > 0 })
	_, sawServer, _, clientErr := handshake(t, server, client)
	assert.NilError(t, clientErr)
	assert.Equal(t, sawServer, "old")

	authority.Issue(t, dir, "new")
	await(func() bool { return logged.FilterMessage("certs_reloaded").Len() > 0 })
	_, sawServer, _, clientErr = handshake(t, server, client)
	assert.NilError(t, clientErr)
	assert.Equal(t, sawServer, "new")
	g.Stop()
	assert.NilError(t, g.Wait())
}

// await polls until condition returns true. Only the timeout of the test binary
// limits the wait.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
