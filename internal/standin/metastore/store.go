// Package metastore is a stand-in for the platform's metadata store, for tests.
//
// It serves the store's HTTP calls that append to keyed topics of one partition,
// read their records and list the newest record of each key. It keeps the records
// in memory. A test can make it leave calls unanswered, refuse them, lose the
// answers to appends, delay appends, or come back from a copy.
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fault is a way in which the store fails calls.
type Fault uint8

// The faults that SetFault accepts.
const (
	NoFault          Fault = iota
	NoAnswer               // calls are neither executed nor answered
	RefuseCalls            // calls are answered with status 503
	LoseAppendAnswer       // appends are executed but not answered
	EndlessAnswers         // reads are answered with bytes without end
	EndlessPages           // the newest records are answered with pages without end, reads as truncated
	DelayAppend            // appends are not answered and are executed after appendDelay, if their condition holds then
)

// appendDelay is how long the fault DelayAppend delays an append.
const appendDelay = 300 * time.Millisecond

// Store is the stand-in store. Use New to start one.
type Store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex          // guards the fields below
	topics  map[string][][]byte // records by topic; a record's index is its offset
	fault   Fault
	calls   int
	era     int            // rises with each Restore
	copied  map[string]int // number of records of each topic at the last Restore
	changed chan struct{}  // closed and replaced after each append
	stop    chan struct{}  // closed by Close
}

// New starts a store on a loopback port.
func New() (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{topics: map[string][][]byte{}, changed: make(chan struct{}), stop: make(chan struct{}), addr: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /burdockfold/log-append", s.withFault(s.append))
	mux.HandleFunc("GET /burdockfold/log-read", s.withFault(s.read))
	mux.HandleFunc("GET /burdockfold/log-newest", s.withFault(s.newest))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Addr returns the store's address as host:port.
func (s *Store) Addr() string { return s.addr }

// Close stops the store and closes its connections.
func (s *Store) Close() error {
	close(s.stop)
	return s.server.Close()
}

// SetFault sets how the store fails the calls that arrive from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Copy is a copy of the store's records.
type Copy struct{ topics map[string][][]byte }

// Copy returns a copy of the present records.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{topics: make(map[string][][]byte, len(s.topics))}
	for name, records := range s.topics {
		c.topics[name] = slices.Clone(records)
	}
	return c
}

// Restore makes the store come back from a copy: what was appended since is gone, and the
// era rises. Pending reads end without an answer.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.topics, s.copied = make(map[string][][]byte, len(c.topics)), make(map[string]int, len(c.topics))
	for name, records := range c.topics {
		s.topics[name], s.copied[name] = slices.Clone(records), len(records)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// KeysWritten returns the number of keys of a topic that were written since the last
// restore.
func (s *Store) KeysWritten(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := map[string]bool{}
	for _, r := range s.topics[topic][min(s.copied[topic], len(s.topics[topic])):] {
		keys[string(r[1:1+int(r[0])])] = true
	}
	return len(keys)
}

// CallCount returns the number of calls that have arrived.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record with a key and a value, as the operators' tools do.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(topic, append(record, value...))
}

// appendRecord appends a record and wakes the waiting reads. The caller holds s.mu.
func (s *Store) appendRecord(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFault wraps a handler: it counts the call and applies the faults that concern
// every call.
func (s *Store) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault, era := s.fault, s.era
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
		case EndlessAnswers, EndlessPages:
			s.answerWithoutEnd(w, r, fault, era)
		default:
			w.Header().Set("Store-Era", strconv.Itoa(era))
			next(w, r)
		}
	}
}

// append appends the record in the body. If the parameter "at" is given, the
// topic must end at that offset.
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
		time.AfterFunc(appendDelay, func() { s.appendRecordAt(topic, at, record) })
		panic(http.ErrAbortHandler)
	}
	end, ok := s.appendRecordAt(topic, at, record)
	if fault == LoseAppendAnswer {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end_offset": end})
}

// appendRecordAt appends a record if the topic ends at the decimal offset at, or
// unconditionally if at is empty. It returns the offset at which the topic ends
// afterwards.
func (s *Store) appendRecordAt(topic, at string, record []byte) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != "" && at != strconv.Itoa(len(s.topics[topic])) {
		return len(s.topics[topic]), false
	}
	s.appendRecord(topic, record)
	return len(s.topics[topic]), true
}

// read answers with the records from an offset on. If there are none, it waits
// for an append, at most for the time that the caller asked for.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // zero if the parameter is missing
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		records, changed, restored := s.topics[q.Get("topic")], s.changed, s.era != era
		s.mu.Unlock()
		if restored {
			panic(http.ErrAbortHandler)
		}
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
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

// writeRecords writes the end of the topic, the first offset kept, which is always
// zero, and the records from an offset on, each preceded by its length.
func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

// newest answers with the newest record of each key, all on one page.
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
		if len(rec) == 1+n { // without a value, a record deletes the key
			delete(byKey, key)
			continue
		}
		byKey[key] = item{key, base64.StdEncoding.EncodeToString(rec[1+n:]), i}
	}
	items := make([]item, 0, len(byKey))
	for _, it := range byKey {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}
