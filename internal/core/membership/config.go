// Package membership decides which records the leader appends to the control
// stream, and when a member starts an election to become the leader. Its inputs
// are the ownership table, the suspicions and the local clock; its outputs are
// records. The leader keeps itself visible, gives each member a lease group with
// witnesses and successors, removes members that lost their lease group, and
// assigns slices that have never been assigned. Each record names the term or
// version on which it is based, so that it is void if it is appended too late. The
// package performs no I/O.
package membership

import (
	"errors"
	"fmt"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// Config contains the timeouts, delays and budgets of a Planner.
type Config struct {
	LeaderTimeout   time.Duration // time without a record of the leader after which members start an election
	LeaderStagger   time.Duration // additional delay of each further candidate in an election
	LeaderInterval  time.Duration // interval between LeaderAlive records
	ProposalTimeout time.Duration // time after which a record that has not folded is appended again
	RepairDelay     time.Duration // delay before a group that can still renew its lease is changed
	FlapHold        time.Duration // time after a restart during which a host gets no new roles; doubled on repeated restarts
	AssignDelay     time.Duration // delay before new slices are assigned, so that members can join first
	Witnesses       int           // number for each group, odd
	Successors      int           // maximum number for each group
	GroupBudget     int           // maximum number of group changes that have not folded yet
	AssignBudget    int           // maximum number of slices assigned by one call of Plan
}

// DefaultConfig returns settings for a log service that responds within one second.
func DefaultConfig() Config {
	return Config{
		LeaderTimeout:   6 * time.Second,
		LeaderStagger:   time.Second,
		LeaderInterval:  2 * time.Second,
		ProposalTimeout: 2 * time.Second,
		RepairDelay:     time.Second,
		FlapHold:        30 * time.Second,
		AssignDelay:     500 * time.Millisecond,
		Witnesses:       3,
		Successors:      3,
		GroupBudget:     64,
		AssignBudget:    1024,
	}
}

// Validate returns all errors in the settings, joined.
func (c Config) Validate() error {
	var errs []error
	positive := func(name string, d time.Duration) {
		if d <= 0 {
			errs = append(errs, fmt.Errorf("membership: %s must be positive, is %s", name, d))
		}
	}
	positive("LeaderTimeout", c.LeaderTimeout)
	positive("LeaderStagger", c.LeaderStagger)
	positive("LeaderInterval", c.LeaderInterval)
	positive("ProposalTimeout", c.ProposalTimeout)
	if c.LeaderInterval >= c.LeaderTimeout {
		errs = append(errs, errors.New("membership: LeaderInterval must be below LeaderTimeout"))
	}
	if c.RepairDelay < 0 || c.FlapHold < 0 || c.AssignDelay < 0 {
		errs = append(errs, errors.New("membership: RepairDelay, FlapHold and AssignDelay must not be negative"))
	}
	if c.Witnesses%2 != 1 || c.Witnesses < 1 || c.Witnesses > ownership.MaxWitnesses {
		errs = append(errs, fmt.Errorf("membership: Witnesses must be odd and at most %d, is %d", ownership.MaxWitnesses, c.Witnesses))
	}
	if c.Successors < 1 || c.Successors > ownership.MaxSuccessors {
		errs = append(errs, fmt.Errorf("membership: Successors must be from 1 to %d, is %d", ownership.MaxSuccessors, c.Successors))
	}
	if c.GroupBudget < 1 || c.AssignBudget < 1 || c.AssignBudget > ownership.MaxMoves {
		errs = append(errs, fmt.Errorf("membership: GroupBudget and AssignBudget must be positive, AssignBudget at most %d", ownership.MaxMoves))
	}
	return errors.Join(errs...)
}

// LiveView provides observations of the daemon that are not in the log.
type LiveView interface {
	// Suspected reports whether several observers in different failure domains
	// consider m failed. A suspicion alone never revokes ownership.
	Suspected(m ident.Member) bool
	// LogCurrent reports whether the log has responded recently and the table
	// contains all records that the log had then.
	LogCurrent() bool
}
