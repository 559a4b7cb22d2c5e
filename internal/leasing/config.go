package leasing

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
)

// Config holds the durations and limits of a Controller.
type Config struct {
	Lease              lease.Config
	RecordTimeout      time.Duration // limit for one write to the log; also how long a takeover waits for its record
	RetryEvery         time.Duration // interval between attempts to reach the log or a peer
	PlanEvery          time.Duration // interval between checks of the planned moves
	MoveTimeout        time.Duration // limit for one planned move
	ArrivalWait        time.Duration // how long requests wait for a slice that its previous holder has announced
	MaxWaitingRequests int           // limit on requests that wait for a slice at the same time
}

// Validate returns an error that lists every invalid setting.
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

// Deps holds the dependencies of a Controller.
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
