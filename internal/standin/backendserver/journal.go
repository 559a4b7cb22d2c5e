package backendserver

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Event is one line of the journal: a request that began or ended. Two events
// of one request share Server and Run.
type Event struct {
	Server  string        `json:"server"`
	Run     uint64        `json:"run"` // counts the requests of this server
	End     bool          `json:"end"`
	UnixNS  int64         `json:"ns"`
	Request string        `json:"request"`
	Token   string        `json:"token"` // idempotency key, empty for repeatable work
	Service ident.Service `json:"service"`
	Key     string        `json:"key"`
	Epoch   ident.Epoch   `json:"epoch"`
	Answer  int64         `json:"answer"` // body bytes of the answer

	Traceparent string `json:"traceparent,omitempty"` // W3C trace context as received
}

// Journal receives events in the order in which they happened on one server.
type Journal interface {
	Write(e Event)
}

type discard struct{}

func (discard) Write(Event) {}

// FileJournal appends events to a file, one JSON object a line, so that they
// outlive the process.
type FileJournal struct {
	mu sync.Mutex // guards f
	f  *os.File
}

// OpenFileJournal opens or creates the file.
func OpenFileJournal(path string) (*FileJournal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &FileJournal{f: f}, nil
}

// Write appends one event.
func (j *FileJournal) Write(e Event) {
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.f.Write(append(data, '\n'))
}

// Close closes the file.
func (j *FileJournal) Close() error { return j.f.Close() }

// ReadEvents decodes the events of a journal. A last line without its end, as a
// killed server leaves it, is passed over.
func ReadEvents(r io.Reader) ([]Event, error) {
	var events []Event
	d := json.NewDecoder(r)
	for {
		var e Event
		err := d.Decode(&e)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		events = append(events, e)
	}
}

// MemoryJournal keeps events in memory.
type MemoryJournal struct {
	mu     sync.Mutex // guards events
	events []Event
}

// Write keeps one event.
func (j *MemoryJournal) Write(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
}

// Events returns a copy of the events so far.
func (j *MemoryJournal) Events() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Event(nil), j.events...)
}
