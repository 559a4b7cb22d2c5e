package pipeline

import (
	"context"
	"net/url"
	"strings"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Header fields by which callers name the service and the key.
const (
	HeaderService = "Burdock-Service"
	HeaderKey     = "Burdock-Key"
)

// maxKeyBytes is the maximum length of a key.
const maxKeyBytes = 1024

// ServiceName returns the service that a caller's request names, and the rest of
// the path without its leading slash. The name is the value of the Burdock-Service
// header if set, in which case rest is the whole path, and otherwise the first
// segment of the path.
func ServiceName(headerValue, uri string) (name ident.Service, rest string) {
	path := pathOf(uri)
	if headerValue != "" {
		return ident.Service(headerValue), path
	}
	segment, rest, _ := strings.Cut(path, "/")
	return ident.Service(segment), rest
}

// pathOf returns the path of a request URI without its leading slash and without
// the query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return strings.TrimPrefix(path, "/")
}

// Classify sets the service, the key, the deadline and the Repeatable field of a
// request. It refuses a request whose deadline has passed.
func Classify(catalog Catalog, clock ident.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			if err := classify(catalog, r); err != nil {
				return nil, err
			}
			limitDeadline(r)
			if !clock.Now().Before(r.Deadline) {
				return nil, errkind.New(errkind.DeadlineBeforeStart, "the deadline has passed")
			}
			return next.Handle(ctx, r)
		})
	}
}

// classify sets all fields that Classify sets except the deadline. A request from a
// peer carries its service name and key; those of a caller's request come from its
// header and path.
func classify(catalog Catalog, r *Request) error {
	name, rest := r.Service.Name, ""
	if r.Origin == FromCaller {
		name, rest = ServiceName(r.HeaderValue(HeaderService), r.URI)
	}
	s, ok := catalog.Service(name)
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q", name)
	}
	r.Service = s
	r.Repeatable = s.Repeatable && r.IdempotencyKey == ""
	if r.ContentLength > s.MaxBody {
		return errkind.New(errkind.BodyTooLarge, "%d bytes, the limit is %d", r.ContentLength, s.MaxBody)
	}
	if s.Mode != config.Keyed {
		r.Key = nil
		return nil
	}
	if r.Origin == FromCaller {
		key, err := keyOf(s, r, rest)
		if err != nil {
			return err
		}
		r.Key = key
	}
	if len(r.Key) == 0 {
		return errkind.New(errkind.KeyMissing, "service %q needs a key", name)
	}
	r.KeyHash = ownership.HashKey(r.Key)
	return nil
}

// keyOf returns the key of a caller's request: the value of the Burdock-Key header
// or the first segment of rest, as the service configures.
func keyOf(s config.Service, r *Request, rest string) ([]byte, error) {
	raw := r.HeaderValue(HeaderKey)
	if s.KeyFrom == config.KeyFromPath {
		segment, _, _ := strings.Cut(rest, "/")
		unescaped, err := url.PathUnescape(segment)
		if err != nil {
			return nil, errkind.New(errkind.Malformed, "key: %w", err)
		}
		raw = unescaped
	}
	if len(raw) > maxKeyBytes {
		return nil, errkind.New(errkind.Malformed, "key of %d bytes, the limit is %d", len(raw), maxKeyBytes)
	}
	return []byte(raw), nil
}

// limitDeadline sets the service's deadline if the request has none or a later one.
func limitDeadline(r *Request) {
	latest := r.Arrived.Add(r.Service.Deadline)
	if r.Deadline == 0 || latest.Before(r.Deadline) {
		r.Deadline = latest
	}
}

// HeaderValue returns the value of the first header field with the given name, or
// "" if there is none. It compares names without regard to case.
func (r *Request) HeaderValue(name string) string {
	for i := range r.Header {
		if strings.EqualFold(r.Header[i].Name, name) {
			return r.Header[i].Value
		}
	}
	return ""
}
