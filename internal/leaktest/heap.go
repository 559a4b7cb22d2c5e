package leaktest

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// heapInterval is the time between two samples of the heap. Each stops the process briefly.
const heapInterval = 5 * time.Millisecond

// WatchHeap samples the size of the heap until the result is called, which returns the highest
// one, in bytes. It begins with a collection of what earlier tests left.
func WatchHeap() (stop func() uint64) {
	runtime.GC()
	var highest atomic.Uint64
	var watcher sync.WaitGroup
	end := make(chan struct{})
	watcher.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest.Store(max(highest.Load(), m.HeapInuse))
			select {
			case <-end:
				return
			case <-time.After(heapInterval):
			}
		}
	})
	return func() uint64 {
		close(end)
		watcher.Wait()
		return highest.Load()
	}
}
