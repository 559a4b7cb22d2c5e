// Package explain finds in the logs of daemons what became of one request: the
// lines that name its id, and the changes of state around it that may have decided
// its fate.
package explain

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	maxLineBytes = 1 << 20

	// before is how long a change of state acts on later requests: a takeover takes
	// about five seconds from the last sign of life.
	before = 5 * time.Second
	after  = 500 * time.Millisecond // changes that the request's failure brought to light

	maxContext = 60 // lines around a request; more are counted
)

// LogSource is the log of one daemon, or of several whose lines begin with its name.
type LogSource struct {
	Name   string
	Reader io.Reader
}

// Line is one event of a log.
type Line struct {
	Source string
	Time   time.Time
	Event  string
	Fields map[string]string
	Text   string // from its time on
}

// Report is what was found of a request.
type Report struct {
	ID      string
	Path    []Line   // lines that name the request, or calls that its run made
	Hosts   []string // where it was sent, in order
	Service string
	Outcome string
	Around  []Line // changes of state of its service and its hosts
	LeftOut int    // of those
}

// ErrNotFound says that no line names the id.
var ErrNotFound = errors.New("explain: no line names the id")

// FindRequest reads logs to their end. It fails if a log cannot be read, or with
// ErrNotFound.
func FindRequest(id string, sources []LogSource) (Report, error) {
	r := Report{ID: id}
	var events []Line
	hosts := make(map[string]string) // source to host, as its daemon says
	for _, s := range sources {
		err := scan(s, func(l Line) {
			request := l.Fields["request_id"]
			switch {
			case request == id || strings.HasPrefix(request, id+"."):
				r.Path = append(r.Path, l)
			case request == "":
				events = append(events, l)
			}
			if l.Event == "daemon_started" {
				hosts[l.Source], _, _ = strings.Cut(l.Fields["member"], "/")
			}
		})
		if err != nil {
			return r, fmt.Errorf("explain: %s: %w", s.Name, err)
		}
	}
	if len(r.Path) == 0 {
		return r, ErrNotFound
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(r.Path, byTime)
	r.conclude()
	r.around(events, hosts)
	slices.SortStableFunc(r.Around, byTime)
	return r, nil
}

// conclude takes the outcome from the request's own last line.
func (r *Report) conclude() {
	for _, l := range r.Path {
		if l.Event != "request_done" || l.Fields["request_id"] != r.ID {
			continue
		}
		r.Service, r.Outcome = l.Fields["service"], l.Fields["outcome"]
		r.Hosts = strings.FieldsFunc(l.Fields["hosts"], func(c rune) bool { return strings.ContainsRune("[], \"", c) })
	}
	if r.Outcome == "" {
		r.Outcome = r.Path[len(r.Path)-1].Fields["kind"]
	}
}

// around keeps the events that concern the request's service or hosts.
func (r *Report) around(events []Line, hosts map[string]string) {
	from := r.Path[0].Time.Add(-before)
	to := r.Path[len(r.Path)-1].Time.Add(after)
	for _, e := range events {
		if e.Time.Before(from) || e.Time.After(to) || !r.concerns(e, hosts) {
			continue
		}
		if len(r.Around) == maxContext {
			r.LeftOut++
			continue
		}
		r.Around = append(r.Around, e)
	}
}

func (r *Report) concerns(e Line, hosts map[string]string) bool {
	switch {
	case e.Event == "ownership_table": // every daemon reads every change; the write says it all
		return false
	case strings.HasPrefix(e.Event, "ownership_"):
		return e.Fields["service"] == r.Service
	case e.Source == r.Path[len(r.Path)-1].Source, slices.Contains(r.Hosts, hosts[e.Source]):
		return e.Fields["service"] == "" || e.Fields["service"] == r.Service
	}
	for _, name := range []string{"peer", "member"} {
		host, _, _ := strings.Cut(e.Fields[name], "/")
		if slices.Contains(r.Hosts, host) {
			return true
		}
	}
	return false
}

// scan calls f for every event of a log; other lines are passed over.
func scan(s LogSource, f func(Line)) error {
	in := bufio.NewScanner(s.Reader)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if l, ok := parse(s.Name, in.Text()); ok {
			f(l)
		}
	}
	return in.Err()
}

// parse reads one line. A word before its time names the daemon, as in logs that
// were collected from several.
func parse(source, text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	if words := strings.Fields(text[:at]); len(words) > 0 {
		source = words[len(words)-1]
	}
	l := Line{Source: source, Text: text[at:], Fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.Fields[string(d.Key())] = string(d.Value())
		}
	}
	t, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	if err != nil || d.Err() != nil {
		return Line{}, false
	}
	l.Time, l.Event = t, l.Fields["msg"]
	return l, l.Event != ""
}
