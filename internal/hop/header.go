package hop

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// connectionFields are the header fields that apply to a single connection: the
// framing fields and the hop-by-hop fields of RFC 9110, section 7.6.1.
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

// IsHopByHop reports whether a header field must not be forwarded. connectionTokens
// are the field names that the Connection fields of the message list.
func IsHopByHop(name string, connectionTokens ...string) bool {
	return ContainsFold(connectionFields, name) || ContainsFold(connectionTokens, name)
}

// ContainsFold reports whether names contains name, ignoring case.
func ContainsFold(names []string, name string) bool {
	for _, n := range names {
		if len(n) == len(name) && strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// ConnectionTokens returns the field names that the values of Connection fields list.
// It omits the options close and keep-alive, which are not field names.
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
