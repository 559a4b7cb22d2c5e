// Package certs loads the TLS files of a daemon and reloads them when they
// change. A Reloader reads a certificate, its key and the certificate authorities
// of peers, and returns tls.Config values for servers and clients. Between
// daemons both sides present a certificate; PublicServerTLS serves callers
// without one. Every handshake uses the newest version of the files that loaded
// without an error, so replaced files apply without a restart.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fsnotify/fsnotify"
	"go.uber.org/zap"
)

const (
	// DefaultPollInterval is the interval at which Run checks the modification
	// times and sizes of the files, for file systems that do not report changes.
	DefaultPollInterval = 30 * time.Second

	// settleDelay is the time between the last reported change and a reload, so
	// that a replacement of several files can finish first.
	settleDelay = 100 * time.Millisecond
)

// loadedFiles holds the contents and the versions of the three files from one
// load.
type loadedFiles struct {
	cert     *tls.Certificate
	roots    *x509.CertPool
	versions fileVersions
}

// fileVersions identifies the versions of the three files, in the order of
// Reloader.files.
type fileVersions [3]fileVersion

// fileVersion identifies the version of a file.
type fileVersion struct {
	modified time.Time
	size     int64 // bytes
}

// Reloader provides the newest valid version of a certificate, its key and the
// certificate authorities, one of which must have signed the certificate of a
// peer. If a new version cannot be loaded, the previous one stays in force. A
// Reloader is safe for concurrent use.
type Reloader struct {
	files   [3]string // paths of the certificate, the key and the authorities (may be empty), in PEM
	log     *zap.Logger
	current atomic.Pointer[loadedFiles]
}

// NewReloader loads the files and returns an error if they are not valid. Run
// keeps them up to date. If caFile is empty, ServerTLS and ClientTLS accept no
// peer; PublicServerTLS needs no authorities. log may be nil.
func NewReloader(certFile, keyFile, caFile string, log *zap.Logger) (*Reloader, error) {
	if log == nil {
		log = zap.NewNop()
	}
	r := &Reloader{files: [3]string{certFile, keyFile, caFile}, log: log}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload loads the files immediately. If it returns an error, the previous version
// stays in force.
func (r *Reloader) Reload() error {
	loaded, err := r.load()
	if err != nil {
		return err
	}
	r.current.Store(loaded)
	return nil
}

// load reads the three files without changing the version in force.
func (r *Reloader) load() (*loadedFiles, error) {
	// Read the versions first, so that a change during the load is detected
	// later and causes another load.
	versions, err := r.readVersions()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(r.files[0], r.files[1])
	if err != nil {
		return nil, fmt.Errorf("certs: load key pair: %w", err)
	}
	roots, err := r.loadRoots()
	if err != nil {
		return nil, err
	}
	return &loadedFiles{cert: &cert, roots: roots, versions: versions}, nil
}

// loadRoots returns the certificate authorities. The pool is empty if no file of
// authorities is configured.
func (r *Reloader) loadRoots() (*x509.CertPool, error) {
	roots := x509.NewCertPool()
	if r.files[2] == "" {
		return roots, nil
	}
	authorities, err := os.ReadFile(r.files[2])
	if err != nil {
		return nil, fmt.Errorf("certs: load authorities: %w", err)
	}
	if !roots.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("certs: no certificate in %s", r.files[2])
	}
	return roots, nil
}

// readVersions returns the current versions of the configured files.
func (r *Reloader) readVersions() (fileVersions, error) {
	var versions fileVersions
	for i, name := range r.files {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return fileVersions{}, fmt.Errorf("certs: %w", err)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

// Run reloads the files when they change, until ctx ends. A failed reload is
// logged. Run returns an error only if it cannot watch the directories of the
// files.
func (r *Reloader) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("certs: create file watcher: %w", err)
	}
	defer watcher.Close()
	// Watch the directories, because files are often replaced by a rename.
	for _, name := range r.files {
		if name == "" {
			continue
		}
		if err := watcher.Add(filepath.Dir(name)); err != nil {
			return fmt.Errorf("certs: watch directory of %s: %w", name, err)
		}
	}
	poll := time.NewTicker(DefaultPollInterval)
	defer poll.Stop()
	settleTimer := time.NewTimer(0) // fires at once to load changes from before the watch began
	defer settleTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watcher.Events:
			settleTimer.Reset(settleDelay)
		case err := <-watcher.Errors:
			r.log.Warn("certs_watch_failed", zap.Error(err))
		case <-settleTimer.C:
			r.reloadIfChanged()
		case <-poll.C:
			r.reloadIfChanged()
		}
	}
}

// reloadIfChanged reloads the files if their versions differ from those in force,
// and logs the result.
func (r *Reloader) reloadIfChanged() {
	versions, err := r.readVersions()
	if err == nil && versions == r.current.Load().versions {
		return
	}
	if err == nil {
		err = r.Reload()
	}
	if err != nil {
		r.log.Error("certs_reload_failed", zap.Error(err))
		return
	}
	r.log.Info("certs_reloaded", zap.Time("not_after", r.current.Load().cert.Leaf.NotAfter))
}

// PublicServerTLS returns the configuration of a server whose clients present no
// certificate. Each handshake uses the certificate in force at that time.
func (r *Reloader) PublicServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         r.currentCertificate,
		SessionTicketsDisabled: true,
	}
}

// currentCertificate implements tls.Config.GetCertificate.
func (r *Reloader) currentCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.current.Load().cert, nil
}

// ServerTLS returns the configuration of a server that requires a certificate from
// every client, signed by one of the authorities. Each handshake uses the files in
// force at that time.
func (r *Reloader) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         r.currentCertificate,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       r.peerVerifier(x509.ExtKeyUsageClientAuth),
		SessionTicketsDisabled: true,
	}
}

// ClientTLS returns the configuration of a client that presents the certificate and
// verifies the server's. Daemons are identified by the authority that signed their
// certificate and not by a host name, because they are dialed by IP address and
// addresses change whenever a host is replaced.
func (r *Reloader) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current.Load().cert, nil
		},
		// The verification of crypto/tls would use a fixed set of authorities and
		// the host name. VerifyConnection replaces it and verifies against the
		// authorities in force.
		InsecureSkipVerify: true,
		VerifyConnection:   r.peerVerifier(x509.ExtKeyUsageServerAuth),
	}
}

// peerVerifier returns a function that verifies the certificate chain of the peer,
// for the given usage, against the authorities in force.
func (r *Reloader) peerVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return errors.New("certs: peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         r.current.Load().roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return fmt.Errorf("certs: verify peer certificate: %w", err)
		}
		return nil
	}
}
