package leasing

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
)

// Config sets the times and bounds of a Controller.
type Config struct {
	Lease              lease.Config
	RecordTimeout      time.Duration // a takeover waits as long for the log
	RetryEvery         time.Duration // interval between attempts to reach the log or a peer
	PlanEvery          time.Duration // interval between looks at the planned moves
	MoveTimeout        time.Duration // bound of one move
	ArrivalWait        time.Duration // how long a slice announced by its holder is expected
	MaxWaitingRequests int           // requests that wait for a slice
}

// Validate reports every setting that does not work.
func (c Config) Validate() error {
	errs := []error{c.Lease.Validate()}
	positive := func(name string, d time.Duration) {
		if d <= 0 {
			errs = append(errs, errors.New("leasing: "+name+" must be positive"))
		}
	}
	positive("RecordTimeout", c.RecordTimeout)
	positive("RetryEvery", c.RetryEvery)
	positive("PlanEvery", c.PlanEvery)
	positive("MoveTimeout", c.MoveTimeout)
	positive("ArrivalWait", c.ArrivalWait)
	if c.MaxWaitingRequests <= 0 {
		errs = append(errs, errors.New("leasing: MaxWaitingRequests must be positive"))
	}
	return errors.Join(errs...)
}

// Deps is what a Controller works with.
type Deps struct {
	Self        ident.Member
	Config      Config
	Clock       ident.Clock
	Table       TableView
	Recorder    Recorder
	Granter     Granter
	Idempotency IdempotencyRecords
	Directory   Directory
	Transport   Transport
	Planner     MovePlanner
	Log         *zap.Logger
}
