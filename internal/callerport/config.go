// Package callerport serves callers over HTTP/1.1. It converts each HTTP request to a
// pipeline.Request and converts the answer or error of the pipeline to an HTTP response.
// It refuses a request whose framing is ambiguous before it forwards any byte. A
// connection whose request body was not read to its end is closed after the answer, so
// that the rest of the body is never read as another request.
package callerport

import (
	"errors"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Config holds the limits and timeouts for callers.
type Config struct {
	Region         ident.Region  // region of this daemon
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	BodyTimeout    time.Duration // from the end of the header to the end of the body
	IdleTimeout    time.Duration // between two requests on a connection
	AnswerTimeout  time.Duration // time to write an answer
	MaxHeaderBytes int           // maximum size of a request's header, in bytes
	MaxConnections int           // maximum number of open connections; further ones are refused
	WatchInterval  time.Duration // time between checks for callers that have disconnected
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

// minHeaderBytes is the smallest header limit that fits the headers of usual callers.
const minHeaderBytes = 1 << 10

// Validate returns an error that lists every problem of the configuration, or nil.
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
	if c.MaxHeaderBytes < minHeaderBytes {
		errs = append(errs, errors.New("the header limit is below 1 KiB"))
	}
	return errors.Join(errs...)
}
