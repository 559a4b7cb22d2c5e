package logserver

import (
	"fmt"
	"time"
)

// Faults are the failures that the server shows from now on. The zero value is
// a server without fault.
type Faults struct {
	// Down makes every call fail with 503 before it has any effect.
	Down bool `json:"down"`
	// SlowMS is the latency added to each call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the fraction of appends that are written and then get a
	// closed connection in place of an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseRequests is the fraction of appends whose connection is closed before
	// anything is written.
	LoseRequests float64 `json:"lose_requests"`
	// RetainRecords is the number of records kept in each stream; zero keeps all.
	RetainRecords int `json:"retain_records"`
	// RetainMS is the age in milliseconds after which a record is dropped; zero
	// keeps records of any age.
	RetainMS int64 `json:"retain_ms"`
	// ReadStall holds back the answer of every read until it is lifted.
	ReadStall bool `json:"read_stall"`
}

// Validate reports the first field that is out of range.
func (f Faults) Validate() error {
	if f.LoseAnswers < 0 || f.LoseAnswers > 1 {
		return fmt.Errorf("logserver: lose_answers %v is not a fraction", f.LoseAnswers)
	}
	if f.LoseRequests < 0 || f.LoseRequests > 1 {
		return fmt.Errorf("logserver: lose_requests %v is not a fraction", f.LoseRequests)
	}
	if f.SlowMS < 0 || f.RetainRecords < 0 || f.RetainMS < 0 {
		return fmt.Errorf("logserver: slow_ms, retain_records and retain_ms must not be negative")
	}
	return nil
}

func (f Faults) slow() time.Duration { return time.Duration(f.SlowMS) * time.Millisecond }

func (f Faults) retainAge() time.Duration { return time.Duration(f.RetainMS) * time.Millisecond }

// faultsUpdate is the body of a change of the faults: absent fields stay.
type faultsUpdate struct {
	Down          *bool    `json:"down"`
	SlowMS        *int64   `json:"slow_ms"`
	LoseAnswers   *float64 `json:"lose_answers"`
	LoseRequests  *float64 `json:"lose_requests"`
	RetainRecords *int     `json:"retain_records"`
	RetainMS      *int64   `json:"retain_ms"`
	ReadStall     *bool    `json:"read_stall"`
	// TruncateKeep drops, once, all but so many records of each stream.
	TruncateKeep *int `json:"truncate_keep"`
}

func (u faultsUpdate) apply(f Faults) Faults {
	set(&f.Down, u.Down)
	set(&f.SlowMS, u.SlowMS)
	set(&f.LoseAnswers, u.LoseAnswers)
	set(&f.LoseRequests, u.LoseRequests)
	set(&f.RetainRecords, u.RetainRecords)
	set(&f.RetainMS, u.RetainMS)
	set(&f.ReadStall, u.ReadStall)
	return f
}

func set[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
