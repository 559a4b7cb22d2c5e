package burdockfold

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// sliceName identifies a slice of a service by its index.
type sliceName struct {
	service string
	index   uint32
}

// ownerHints maps slices to the caller address of their owner's daemon, as
// reported in the headers of answers. A hint may be outdated; a wrong one costs
// one extra hop. When limit is reached, all hints are cleared.
type ownerHints struct {
	limit int // maximum number of slices in addrs

	mu          sync.RWMutex      // guards the fields below
	sliceCounts map[string]uint32 // by service
	addrs       map[sliceName]string
}

func newOwnerHints(limit int) *ownerHints {
	return &ownerHints{limit: limit, sliceCounts: map[string]uint32{}, addrs: map[sliceName]string{}}
}

// sliceOf returns the slice that contains key. It returns false if the key is
// empty or no answer has reported the number of slices of the service. The caller
// must hold mu.
func (o *ownerHints) sliceOf(service, key string) (sliceName, bool) {
	count := o.sliceCounts[service]
	if count == 0 || key == "" {
		return sliceName{}, false
	}
	return sliceName{service, ownership.HashKey([]byte(key)).RangeIndex(count)}, true
}

// lookup returns the caller address of the daemon beside the owner of key, if
// known.
func (o *ownerHints) lookup(service, key string) (string, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	slice, ok := o.sliceOf(service, key)
	if !ok {
		return "", false
	}
	addr, ok := o.addrs[slice]
	return addr, ok
}

// forget removes the hint for the slice of key.
func (o *ownerHints) forget(service, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if slice, ok := o.sliceOf(service, key); ok {
		delete(o.addrs, slice)
	}
}

// learn records the owner of the slice of key from the headers Burdock-Slice
// ("service/index/count") and Burdock-Owner of an answer. It ignores headers that
// are missing or malformed.
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
	o.sliceCounts[service] = uint32(count)
	slice, ok := o.sliceOf(service, key)
	if !ok {
		return
	}
	if len(o.addrs) >= o.limit {
		clear(o.addrs)
	}
	o.addrs[slice] = addr
}

// problemKind returns the error kind of an RFC 9457 problem body, or an empty
// string if body is not one.
func problemKind(body []byte) string {
	var problem struct {
		Kind string `json:"kind"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return ""
	}
	return problem.Kind
}
