package ctl_test

import (
	"bytes"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/ctl"
)

// startRawDaemon starts a server that sends the bytes of answer to each request. It returns the
// flags that name it.
func startRawDaemon(t *testing.T, withTLS bool, answer *string) []string {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		_, err = conn.Write([]byte(*answer))
		assert.Check(t, err)
		assert.Check(t, conn.Close())
	}))
	t.Cleanup(s.Close)
	if !withTLS {
		s.Start()
		return []string{"-admin", s.URL}
	}
	s.StartTLS()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw}
	assert.NilError(t, os.WriteFile(ca, pem.EncodeToMemory(block), 0o600))
	return []string{"-admin", s.URL, "-ca-file", ca}
}

// A spoilt head is no answer, whatever body follows it.
func TestSpoiltHeadOfADaemonIsNoAnswer(t *testing.T) {
	const body = `{"members":[]}`
	for _, withTLS := range []bool{false, true} {
		var answer string
		flags := startRawDaemon(t, withTLS, &answer)
		list := func(text string) (ctl.ExitCode, string) {
			answer = text
			var out bytes.Buffer
			code := ctl.Run(t.Context(), append([]string{"member", "list"}, flags...), ctl.Env{Stdout: &out, Stderr: &out})
			return code, out.String()
		}
		length := fmt.Sprintf("Content-Length: %d", len(body))
		for _, head := range []string{
			"HTTP/1.1 000 OK\r\n" + length,
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + length,
			"HTTP/1.1 200 OK\r\nX : y\r\n" + length,
			"HTTP/1.1 200 OK\r\n" + strings.Replace(length, ":", " :", 1),
			"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + length,
			"HTTP/1.1 200 OK\r\n folded\r\n" + length,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n" + length,
		} {
			code, out := list(head + "\r\nConnection: close\r\n\r\n" + body)
			assert.Check(t, code == ctl.ExitUnreachable, "%d, TLS %t, %q: %s", code, withTLS, head, out)
		}
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n" + length,
			"HTTP/1.1 200 OK\r\nConnection: close",
			"HTTP/1.0 200 OK",
		} {
			code, out := list(head + "\r\n\r\n" + body)
			assert.Check(t, code == ctl.ExitOK, "%d, TLS %t, %q: %s", code, withTLS, head, out)
		}
	}
}

// A daemon that accepts the connection and sends nothing, in the handshake of TLS too, is given up
// after the time limit.
func TestSilentDaemonIsGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, ln.Close()) }()
	for _, scheme := range []string{"http://", "https://"} {
		ended := make(chan ctl.ExitCode, 1)
		go func() {
			args := []string{"member", "list", "-timeout", "200ms", "-admin", scheme + ln.Addr().String()}
			ended <- ctl.Run(t.Context(), args, ctl.Env{Stdout: io.Discard, Stderr: io.Discard})
		}()
		select {
		case code := <-ended:
			assert.Equal(t, code, ctl.ExitUnreachable)
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the command waits on", scheme)
		}
	}
}
