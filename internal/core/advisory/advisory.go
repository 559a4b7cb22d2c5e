// Package advisory tracks what backend servers state about themselves in their answers:
// a limit on their requests, and that they will stop. The daemon beside a server keeps a
// Tracker of it; the daemons where requests begin keep a Book of the servers that
// answered them, and send what they know along with later requests, because the daemon
// beside the server may have been restarted since. The package performs no I/O: callers
// pass instants in.
package advisory

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// minLimit replaces lower limits, in requests per second. A server that gets no requests
// sends no answers, and could not state that its limit has ended.
const minLimit = 0.25

// Statement is what one answer states about the server that sent it.
type Statement struct {
	Limited bool
	Limit   float64 // requests per second that the server accepts from all hosts together, if Limited
	Leaving bool    // the server will stop soon

	// InvalidLimit is the text of a limit that is not a number. It leaves the limit as it
	// was.
	InvalidLimit string

	Load ServerLoad // zero if the answer does not state it
}

// ServerLoad is what a server states of its load.
type ServerLoad struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes on its machine at present, 1 as usual; zero if not stated
}

// Advisory is what is known of one instance of a server.
type Advisory struct {
	Instance     roster.Instance
	Limit        float64       // requests per second from all hosts together; zero if there is no limit
	Leaving      bool          // the server will stop soon
	LeavingSince ident.Instant // since when it is known to leave; may precede the start of the clock
}

// Tracker keeps the limit of the server beside a daemon. The zero value knows no server.
// It is not safe for concurrent use.
type Tracker struct {
	instance roster.Instance
	limit    float64
	answered bool          // the instance has answered a request of this process
	namedAt  ident.Instant // when the last answer that named a limit arrived
}

// SetInstance makes the tracker follow an instance. A new one has no limit yet.
func (t *Tracker) SetInstance(i roster.Instance) {
	if i != t.instance {
		*t = Tracker{instance: i}
	}
}

// Limit returns the limit in requests per second, zero if there is none.
func (t *Tracker) Limit() float64 { return t.limit }

// RecordAnswer applies the statement of an answer that arrived now to a request sent at
// the instant sent. An answer that names no limit ends the limit only if its request was
// sent after the last answer that named one: answers on several connections may overtake
// one another.
func (t *Tracker) RecordAnswer(i roster.Instance, s Statement, sent, now ident.Instant) {
	if i != t.instance {
		return
	}
	t.answered = true
	switch {
	case s.Limited:
		t.limit, t.namedAt = max(s.Limit, minLimit), now
	case s.InvalidLimit == "" && sent >= t.namedAt:
		t.limit = 0
	}
}

// RecordPeer applies the limit that another daemon knows from earlier answers. It counts
// until the server has answered a request of this process.
func (t *Tracker) RecordPeer(a Advisory) {
	if a.Instance == t.instance && !t.answered && a.Limit > 0 {
		t.limit = max(a.Limit, minLimit)
	}
}
