package burdockfold

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// sliceName names a slice of a service.
type sliceName struct {
	service string
	index   uint32
}

// ownerHints remembers the caller address of the owner's daemon for slices, as
// told by answers. A wrong hint costs one hop.
type ownerHints struct {
	limit int

	mu     sync.RWMutex // guards all below
	counts map[string]uint32
	addrs  map[sliceName]string
}

func newOwnerHints(limit int) *ownerHints {
	return &ownerHints{limit: limit, counts: map[string]uint32{}, addrs: map[sliceName]string{}}
}

// name returns the slice of a key. The caller holds mu.
func (o *ownerHints) name(service, key string) (sliceName, bool) {
	n := o.counts[service]
	if n == 0 || key == "" {
		return sliceName{}, false
	}
	return sliceName{service, ownership.HashKey([]byte(key)).RangeIndex(n)}, true
}

func (o *ownerHints) lookup(service, key string) (string, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	n, ok := o.name(service, key)
	if !ok {
		return "", false
	}
	addr, ok := o.addrs[n]
	return addr, ok
}

func (o *ownerHints) forget(service, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n, ok := o.name(service, key); ok {
		delete(o.addrs, n)
	}
}

// learn reads Burdock-Slice ("service/index/count") and Burdock-Owner.
func (o *ownerHints) learn(service, key string, h *fasthttp.ResponseHeader) {
	addr := string(h.Peek("Burdock-Owner"))
	parts := strings.Split(string(h.Peek("Burdock-Slice")), "/")
	if addr == "" || key == "" || len(parts) != 3 || parts[0] != service {
		return
	}
	count, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[service] = uint32(count)
	n, ok := o.name(service, key)
	if !ok {
		return
	}
	if len(o.addrs) >= o.limit {
		clear(o.addrs)
	}
	o.addrs[n] = addr
}

// problemKind returns the kind of an RFC 9457 problem body, empty when it is
// none.
func problemKind(body []byte) string {
	var p struct {
		Kind string `json:"kind"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Kind
}
