// Package heldmem decides how much memory a daemon may hold for others, that is for callers,
// for other daemons and for the backend server, and whose answers are given up when there is
// too little of it. It does no I/O.
package heldmem

import (
	"math"
	"time"
)

// Bounds of a daemon whose memory is not known, in bytes.
const (
	// fixedBodies is the bound of long request bodies: one of the highest limit that
	// operators can configure and others beside it.
	fixedBodies = 64<<20 + 16<<20
	// fixedReading is the bound of the long answers that are being read.
	fixedReading = 12 << 20
)

// Parts of a process's memory, in bytes.
const (
	baseline    = 48_000_000 // of a daemon that holds nothing for others, with its program
	notOfGoHeap = 32_000_000 // of the program, its stacks and its libraries, outside the collector's view
	heldShare   = 0.8        // of the memory above the baseline; the rest is garbage that is not yet collected
	// kindShare is the share of the held memory that request bodies may take, and likewise
	// answers: neither leaves the other without room.
	kindShare = 2. / 3
	// answerRoom is what request bodies leave to answers at least, if that lets them take more
	// than their share: an answer of the highest length with a copy of it, and some more.
	answerRoom = 24_000_000
	// headShare is the share that long heads of requests may take.
	headShare = 0.25
	// socketShare is the share that the kernel may hold of answers which the callers of idle
	// connections have not taken, and likewise the buffers of connections with long bodies.
	socketShare = 0.125
	// overShare is the share beyond it that short holdings may take.
	overShare = 0.125
	// connectionShare is the share that the connections of callers may take.
	connectionShare = 0.55
	// leastShare is the share of the process's memory that may be held on a host whose memory
	// hardly exceeds the baseline.
	leastShare = 0.1
	// garbageShare is the share that may be released and not yet collected.
	garbageShare = 0.25
)

const (
	// ConnectionBytes is what a connection of a caller takes: its buffers, its stack and its state.
	ConnectionBytes = 32 << 10
	// ConnectionHeadBytes is the part of it for the head of the request that is served. More of a
	// longer head is counted for as long as its request lasts.
	ConnectionHeadBytes = 4 << 10
	// SocketBuffer is the size of each of the kernel's two buffers of a caller's connection.
	SocketBuffer = 16 << 10
	// RequestSocketBytes is what a connection keeps in the kernel while its request is served:
	// what its caller sends ahead, and what the caller has not taken. The kernel allows twice the
	// size of a buffer, for its own structures.
	RequestSocketBytes = 2 * 2 * SocketBuffer
	// WideSocketBuffer is the size of the buffers of a connection with long bodies or answers.
	WideSocketBuffer = 128 << 10
	// WideSocketBytes is what these connections take beyond RequestSocketBytes.
	WideSocketBytes = 2*2*WideSocketBuffer - RequestSocketBytes
)

// Limits bound what a daemon holds for others, in bytes.
type Limits struct {
	Total   int64 // all that waits for room
	Over    int64 // all, with what does not wait
	Bodies  int64 // long request bodies
	Answers int64 // long answers, from their first byte to the last one that is taken
	Reading int64 // those of them that are being read
	Garbage int64 // released since the last collection, above which more room waits for another
	Heads   int64 // long heads of the requests that are served
	Unread  int64 // of answers, in the kernel, for callers of idle connections
	Wide    int64 // in the kernel, for connections with long bodies or answers
	Heap    int64 // soft limit of the garbage collector; zero sets none

	CutAfter time.Duration // wait for room before readers are cut
	GiveUp   time.Duration // wait for room altogether; zero does not wait
}

// LimitsOf returns the limits of a process that is killed above a number of bytes, zero if that
// is not known.
func LimitsOf(memory int64) Limits {
	if memory <= 0 {
		return Limits{
			Total: math.MaxInt64, Over: math.MaxInt64, Bodies: fixedBodies, Answers: math.MaxInt64, Reading: fixedReading,
			Heads: math.MaxInt64, Unread: math.MaxInt64, Wide: math.MaxInt64,
		}
	}
	total := max(heldShare*float64(memory-baseline), leastShare*float64(memory))
	answers := int64(kindShare * total)
	return Limits{
		Total: int64(total), Over: int64((1 + overShare) * total),
		Bodies: min(max(answers, int64(total)-answerRoom), fixedBodies), Answers: answers, Reading: answers,
		Heap:     max(memory-notOfGoHeap, memory/2),
		Garbage:  int64(garbageShare * total),
		Heads:    int64(headShare * total),
		Unread:   int64(socketShare * total),
		Wide:     int64(socketShare * total),
		CutAfter: 300 * time.Millisecond, GiveUp: 2 * time.Second,
	}
}

// Known reports whether the limits follow from the memory of the process.
func (l Limits) Known() bool { return l.Heap > 0 }

// Connections returns how many connections callers may open, at most n.
func (l Limits) Connections(n int) int {
	if !l.Known() {
		return n
	}
	return max(min(n, int(connectionShare*float64(l.Total))/ConnectionBytes), 1)
}
