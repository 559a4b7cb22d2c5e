// Package callerport serves callers over HTTP/1.1. It turns each HTTP request
// into a pipeline.Request and each answer or error back into HTTP. It refuses
// what cannot be framed safely before any byte travels on.
package callerport

import (
	"errors"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Config bounds what callers may do.
type Config struct {
	Region         ident.Region  // region of this daemon
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	BodyTimeout    time.Duration // from the end of the header to the end of the body
	IdleTimeout    time.Duration // between requests of a connection
	AnswerTimeout  time.Duration // for writing an answer
	MaxHeaderBytes int           // bytes of a request's header
	MaxConnections int           // open at once; more are refused
	WatchInterval  time.Duration // between checks whether callers have gone
}

// DefaultConfig returns limits that suit callers on slow links.
func DefaultConfig() Config {
	return Config{
		HeaderTimeout:  10 * time.Second,
		BodyTimeout:    60 * time.Second,
		IdleTimeout:    60 * time.Second,
		AnswerTimeout:  120 * time.Second,
		MaxHeaderBytes: 16 << 10,
		MaxConnections: 10_000,
		WatchInterval:  200 * time.Millisecond,
	}
}

// minHeader is the least size that fits the headers of usual callers.
const minHeader = 1 << 10 // bytes

// Validate lists every problem of the configuration.
func (c Config) Validate() error {
	var errs []error
	positive := func(name string, d time.Duration) {
		if d <= 0 {
			errs = append(errs, errors.New(name+" must be positive"))
		}
	}
	positive("header timeout", c.HeaderTimeout)
	positive("body timeout", c.BodyTimeout)
	positive("idle timeout", c.IdleTimeout)
	positive("answer timeout", c.AnswerTimeout)
	positive("watch interval", c.WatchInterval)
	if c.MaxConnections < 1 {
		errs = append(errs, errors.New("the connection limit must be positive"))
	}
	if c.MaxHeaderBytes < minHeader {
		errs = append(errs, errors.New("the header limit is below 1 KiB"))
	}
	return errors.Join(errs...)
}
