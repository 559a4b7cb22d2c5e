// Package leaktest looks for what tests leave behind or take too much of. Main checks at the
// end of a package's tests that no goroutine is left; it passes over the cleaners of fasthttp,
// which end by themselves some seconds after their last connection or never, and hold no
// request. WatchHeap returns the highest size of the heap.
package leaktest

import (
	"testing"

	"go.uber.org/goleak"
)

// libraryCleaners are the housekeeping goroutines of fasthttp.
var libraryCleaners = []string{
	"github.com/valyala/fasthttp.(*HostClient).connsCleaner",
	"github.com/valyala/fasthttp.(*Client).mCleaner",
	"github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean",
	"github.com/valyala/fasthttp.(*workerPool).Start.func2",
	"github.com/valyala/fasthttp.updateServerDate.func1",
}

// Main runs the tests of a package and fails it when a goroutine is left.
func Main(m *testing.M) {
	opts := make([]goleak.Option, 0, len(libraryCleaners))
	for _, f := range libraryCleaners {
		opts = append(opts, goleak.IgnoreAnyFunction(f))
	}
	goleak.VerifyTestMain(m, opts...)
}
