// Package explain reconstructs the outcome of one request from the logs of daemons.
// It reads logfmt logs and a request id, and returns a Report: the lines that name
// the request, its outcome, and the state changes around it that may have caused
// that outcome. The order of lines in a report follows the timestamps of the logs,
// so it is only as exact as the clocks of the hosts. Lines that are not events are
// skipped.
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
	maxLineBytes = 1 << 20 // FindRequest fails on a longer line

	// contextBefore is how long a state change affects later requests: a takeover
	// takes about five seconds from the owner's last heartbeat.
	contextBefore = 5 * time.Second
	// contextAfter covers state changes that the request's failure revealed.
	contextAfter = 500 * time.Millisecond

	maxContextLines = 60 // further lines are only counted, in Report.LeftOut
)

// LogSource is the log of one daemon, or the collected log of several daemons in
// which each line begins with the name of its daemon.
type LogSource struct {
	Name   string
	Reader io.Reader
}

// Line is one event of a log.
type Line struct {
	Source string // name of the daemon or of the log
	Time   time.Time
	Event  string
	Fields map[string]string
	Text   string // the line from its "time=" field on
}

// Report is what the logs say about one request.
type Report struct {
	ID      string
	Path    []Line   // lines that name the request or a call made while it ran
	Hosts   []string // hosts that the request was sent to, in order
	Service string
	Outcome string
	Around  []Line // state changes of the request's service and hosts
	LeftOut int    // state changes that exceeded the limit of Around
}

// ErrNotFound reports that no log line names the request id.
var ErrNotFound = errors.New("explain: no log line names the request id")

// FindRequest reads all logs to their end and returns what they say about the
// request with the given id. It returns ErrNotFound if no line names the id, and
// another error if a log cannot be read.
func FindRequest(id string, sources []LogSource) (Report, error) {
	r := Report{ID: id}
	var events []Line
	hosts := make(map[string]string) // host of each log source, from its daemon_started line
	for _, s := range sources {
		err := scanEvents(s, func(l Line) {
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
	r.setOutcome()
	r.addContext(events, hosts)
	slices.SortStableFunc(r.Around, byTime)
	return r, nil
}

// setOutcome sets the service, outcome and hosts from the request_done line of the
// request. Without such a line, the outcome is the kind named by the last line.
func (r *Report) setOutcome() {
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

// addContext adds the events that concern the request's service or hosts and lie
// close to the request in time. hosts maps each log source to its host.
func (r *Report) addContext(events []Line, hosts map[string]string) {
	from := r.Path[0].Time.Add(-contextBefore)
	to := r.Path[len(r.Path)-1].Time.Add(contextAfter)
	for _, e := range events {
		if e.Time.Before(from) || e.Time.After(to) || !r.isRelated(e, hosts) {
			continue
		}
		if len(r.Around) == maxContextLines {
			r.LeftOut++
			continue
		}
		r.Around = append(r.Around, e)
	}
}

// isRelated reports whether an event concerns the request's service or one of the
// hosts that the request passed through.
func (r *Report) isRelated(e Line, hosts map[string]string) bool {
	switch {
	case e.Event == "ownership_table": // logged by every daemon for every change; ownership_write has the same information once
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

// scanEvents calls handle for every event of a log and skips all other lines.
func scanEvents(s LogSource, handle func(Line)) error {
	in := bufio.NewScanner(s.Reader)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if l, ok := parseLine(s.Name, in.Text()); ok {
			handle(l)
		}
	}
	return in.Err()
}

// parseLine parses one log line; it returns false if the line is not an event. A word
// before the time field, as in a log collected from several daemons, replaces the
// source.
func parseLine(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		source = words[len(words)-1]
	}
	l := Line{Source: source, Text: text[start:], Fields: make(map[string]string)}
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
