package lease

import (
	"errors"
	"time"
)

// perMille is the denominator of Config.DriftPerMille.
const perMille = 1000

// Config sets the durations of the lease protocol.
type Config struct {
	TTL           time.Duration // duration of a grant
	RenewEvery    time.Duration // interval between renewals
	DriftPerMille int           // upper bound of a clock's drift from real time, in 1/1000
	ClaimStagger  time.Duration // additional delay of each successor after the first
}

// Validate returns an error for each invalid setting, joined into one.
func (c Config) Validate() error {
	var errs []error
	if c.TTL <= 0 {
		errs = append(errs, errors.New("lease: TTL must be positive"))
	}
	if c.RenewEvery <= 0 || c.RenewEvery >= c.holderTTL() {
		errs = append(errs, errors.New("lease: RenewEvery must be positive and shorter than the TTL less the drift"))
	}
	if c.DriftPerMille < 0 || c.DriftPerMille >= perMille {
		errs = append(errs, errors.New("lease: DriftPerMille must be in 0..999"))
	}
	if c.ClaimStagger < 0 {
		errs = append(errs, errors.New("lease: ClaimStagger must not be negative"))
	}
	return errors.Join(errs...)
}

// holderTTL returns how long a holder relies on a grant, on its own clock, from
// the instant at which it sent the request: the TTL less the drift.
func (c Config) holderTTL() time.Duration {
	return c.TTL - c.TTL*time.Duration(c.DriftPerMille)/perMille
}

// witnessTTL returns how long a witness keeps a grant of the given TTL, on its
// own clock, from the receipt of the request: the TTL plus the drift.
func (c Config) witnessTTL(ttl time.Duration) time.Duration {
	return ttl + ttl*time.Duration(c.DriftPerMille)/perMille
}
