// Package metastore is a small stand-in of the platform's metadata store: keyed
// topics of one partition, over HTTP, in memory. It can fall silent, refuse calls,
// lose answers and append late.
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fault is what the store does to calls.
type Fault uint8

// The faults.
const (
	NoFault          Fault = iota
	NoAnswer               // calls get no answer
	RefuseCalls            // calls are refused
	LoseAppendAnswer       // appends are done and not answered
	DelayAppend            // appends are done seconds later, if their condition still holds
)

// lateBy is the delay of late appends.
const lateBy = 300 * time.Millisecond

// Store is the stand-in. Use New.
type Store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex // guards the fields below
	topics  map[string][][]byte
	fault   Fault
	calls   int
	changed chan struct{} // closed and replaced when something was appended
	stop    chan struct{}
}

// New starts a store on a loopback port.
func New() (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{topics: map[string][][]byte{}, changed: make(chan struct{}), stop: make(chan struct{}), addr: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /burdockfold/log-append", s.guard(s.append))
	mux.HandleFunc("GET /burdockfold/log-read", s.guard(s.read))
	mux.HandleFunc("GET /burdockfold/log-newest", s.guard(s.newest))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Addr is the store's address, host:port.
func (s *Store) Addr() string { return s.addr }

// Close ends the store.
func (s *Store) Close() error {
	close(s.stop)
	return s.server.Close()
}

// SetFault makes the store fail in a way.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// CallCount returns how many calls arrived.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record of a key, as the operator does.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(record, value...))
}

// add appends a record. The caller holds s.mu.
func (s *Store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		switch fault {
		case NoAnswer:
			select {
			case <-r.Context().Done():
			case <-s.stop:
			}
			panic(http.ErrAbortHandler)
		case RefuseCalls:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			next(w, r)
		}
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	var length [4]byte
	if _, err := r.Body.Read(length[:]); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	record := make([]byte, binary.BigEndian.Uint32(length[:]))
	for read := 0; read < len(record); {
		n, err := r.Body.Read(record[read:])
		read += n
		if err != nil && read < len(record) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	topic, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault == DelayAppend {
		time.AfterFunc(lateBy, func() { s.addAt(topic, at, record) })
		panic(http.ErrAbortHandler)
	}
	end, ok := s.addAt(topic, at, record)
	if fault == LoseAppendAnswer {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end_offset": end})
}

// addAt appends a record if the topic ends at an offset, given as text; empty
// means anywhere.
func (s *Store) addAt(topic, at string, record []byte) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != "" && at != strconv.Itoa(len(s.topics[topic])) {
		return len(s.topics[topic]), false
	}
	s.add(topic, record)
	return len(s.topics[topic]), true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // without one, no wait
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if len(records) > from {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeRecords(w, records, len(records))
			return
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	byKey := map[string]item{}
	for i, rec := range records {
		n := int(rec[0])
		key := string(rec[1 : 1+n])
		byKey[key] = item{key, base64.StdEncoding.EncodeToString(rec[1+n:]), i}
	}
	items := make([]item, 0, len(byKey))
	for _, it := range byKey {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}
