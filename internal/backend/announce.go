package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Upper bounds of announced values.
const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 16
	maxColdStart   = 10 * time.Minute
)

// DecodeAnnouncement parses and validates an announcement. A validation error lists
// every problem.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("announcement: %w", err)
	}
	return a, a.Validate()
}

// Validate returns all problems of the announcement, joined in one error, or nil.
func (a Announcement) Validate() error {
	var problems []error
	add := func(invalid bool, format string, args ...any) {
		if invalid {
			problems = append(problems, fmt.Errorf("announcement: "+format, args...))
		}
	}
	add(a.Pool == "", "pool: must be set")
	_, _, err := net.SplitHostPort(a.Addr)
	add(err != nil, "addr: must be host:port, is %q", a.Addr)
	add(a.Instance == "", "instance: must be set")
	add(a.Slots < 1 || a.Slots > maxSlots, "slots: must be 1 to %d, is %d", maxSlots, a.Slots)
	add(a.Connections < 1 || a.Connections > maxConnections, "connections: must be 1 to %d, is %d", maxConnections, a.Connections)
	coldStart := time.Duration(a.ColdStartMS) * time.Millisecond
	add(a.ColdStartMS < 0 || coldStart > maxColdStart, "cold_start_ms: must be 0 to %d, is %d", maxColdStart.Milliseconds(), a.ColdStartMS)
	return errors.Join(problems...)
}

// Capabilities returns the announced capabilities in the form recorded in the log.
func (a Announcement) Capabilities() record.Capabilities {
	return record.Capabilities{
		Slots:           a.Slots,
		Connections:     a.Connections,
		ChecksGrants:    a.ChecksGrants,
		ColdStart:       time.Duration(a.ColdStartMS) * time.Millisecond,
		AcceptsCancel:   a.AcceptsCancel,
		AcceptsDeadline: a.AcceptsDeadline,
		ReportsLoad:     a.ReportsLoad,
	}
}
