package hop

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// connectionFields belong to one connection only: framing and the fields of
// RFC 9110 section 7.6.1.
var connectionFields = []string{
	fasthttp.HeaderConnection,
	fasthttp.HeaderContentLength,
	fasthttp.HeaderKeepAlive,
	fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization,
	"Proxy-Connection",
	fasthttp.HeaderTE,
	fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderUpgrade,
}

// IsHopByHop reports whether a field must not travel on; named are the fields that
// Connection lists.
func IsHopByHop(name string, named ...string) bool {
	return ContainsFold(connectionFields, name) || ContainsFold(named, name)
}

// ContainsFold reports whether a name is among others, whatever its case.
func ContainsFold(names []string, name string) bool {
	for _, n := range names {
		if len(n) == len(name) && strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// ConnectionTokens returns the field names that Connection fields name.
func ConnectionTokens(values [][]byte) []string {
	var tokens []string
	for _, v := range values {
		for part := range strings.SplitSeq(string(v), ",") {
			part = strings.TrimSpace(part)
			if part == "" || strings.EqualFold(part, "close") || strings.EqualFold(part, "keep-alive") {
				continue
			}
			tokens = append(tokens, part)
		}
	}
	return tokens
}
