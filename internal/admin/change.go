package admin

import (
	"errors"
	"net/url"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// change takes a signed change in. A change that would not be accepted now is
// refused without an append; else the log decides between racing changes.
func (s *Server) change(c fiber.Ctx) error {
	var sc config.SignedChange
	if err := codec.Unmarshal(c.Body(), &sc); err != nil {
		return errkind.New(errkind.Malformed, "signed change: %w", err)
	}
	result := s.judge(sc)
	_, known := s.accepted(sc)
	if result.Outcome == config.Accepted.String() && !known {
		accepted, err := s.deps.Cluster.RecordChange(c.Context(), sc)
		if err != nil {
			return s.changeFailed(sc, err)
		}
		result = s.settled(sc, accepted)
	}
	s.audit("config_change", sc, result.Outcome)
	return c.Status(statusOf(result.Outcome)).JSON(result)
}

func (s *Server) changeFailed(sc config.SignedChange, err error) error {
	s.audit("config_change", sc, errkind.Of(err).String())
	var e *errkind.Error
	if errors.As(err, &e) {
		return err
	}
	return errkind.New(errkind.LogUnavailable, "change: %w", err)
}

// judge says what would become of the change now. A change that was accepted
// before, repeated after a lost answer, is told from a new one.
func (s *Server) judge(sc config.SignedChange) api.ChangeResult {
	if v, ok := s.accepted(sc); ok {
		result := s.result(config.Accepted, sc)
		if result.InForce.Version > v {
			result.Outcome = api.OutcomeSuperseded
		}
		return result
	}
	inForce := s.deps.Cluster.InForce()
	outcome := inForce.Evaluate(sc)
	result := s.result(outcome, sc)
	switch outcome {
	case config.Conflict:
		result.Differences = config.Diff(sc.Change.Document, inForce.Document(sc.Change.Scope))
	case config.Invalid:
		for _, f := range inForce.Check(sc.Change.Scope, sc.Change.Document) {
			result.Faults = append(result.Faults, f.String())
		}
	}
	return result
}

// settled says what became of the change after it was folded.
func (s *Server) settled(sc config.SignedChange, accepted bool) api.ChangeResult {
	if accepted {
		return api.ChangeResult{Outcome: config.Accepted.String(), InForce: madeBy(sc.Change)}
	}
	result := s.judge(sc)
	if _, known := s.accepted(sc); result.Outcome == config.Accepted.String() && !known {
		result.Outcome = config.Conflict.String() // what made it void is gone again
	}
	return result
}

// madeBy is the version that the change makes.
func madeBy(c config.Change) api.ScopeVersion {
	return scopeVersion(config.ScopeVersion{
		Scope: c.Scope, Version: c.Base + 1, Author: c.Author, Time: c.Time, Digest: c.Digest(),
	})
}

// accepted returns the version that the change has made, if the history still
// holds it.
func (s *Server) accepted(sc config.SignedChange) (config.Version, bool) {
	digest := sc.Change.Digest()
	for _, e := range s.deps.Cluster.InForce().History() {
		if e.Version.Digest == digest {
			return e.Version.Version, true
		}
	}
	return 0, false
}

func (s *Server) result(o config.Outcome, sc config.SignedChange) api.ChangeResult {
	v, _ := s.deps.Cluster.InForce().ScopeVersion(sc.Change.Scope)
	return api.ChangeResult{Outcome: o.String(), InForce: scopeVersion(v)}
}

// statusOf is the HTTP status of the outcome, by the table of error kinds.
func statusOf(outcome string) int {
	switch outcome {
	case config.Accepted.String():
		return fiber.StatusOK
	case config.Conflict.String(), api.OutcomeSuperseded:
		return errkind.Conflict.Answer().Status
	case config.BadSignature.String():
		return errkind.Unauthorized.Answer().Status
	case config.NotAuthorized.String():
		return errkind.Forbidden.Answer().Status
	default:
		return errkind.Invalid.Answer().Status
	}
}

// drain starts the drain of a host for the tenant whose pool it serves.
func (s *Server) drain(c fiber.Ctx) error {
	name, err := url.PathUnescape(c.Params("host"))
	if err != nil {
		return errkind.New(errkind.Malformed, "host: %w", err)
	}
	var proof api.Proof
	if err := c.Bind().JSON(&proof); err != nil {
		return errkind.New(errkind.Malformed, "proof: %w", err)
	}
	host := ident.Host(name)
	key, err := s.authenticate(proof, fiber.MethodPost, api.DrainPath(host))
	if err == nil {
		err = s.mayDrain(key.Tenant, host)
	}
	if err == nil {
		err = s.deps.Cluster.Drain(c.Context(), host)
	}
	s.deps.Logger.Info("audit", zap.String("action", "drain"), telemetry.Host(host),
		zap.String("key", proof.KeyName), telemetry.Tenant(key.Tenant), zap.Bool("ok", err == nil), zap.Error(err))
	if err != nil {
		return err
	}
	return c.Status(fiber.StatusAccepted).JSON(api.Status{Member: s.deps.Cluster.Self(), OK: true})
}

func (s *Server) mayDrain(tenant ident.Tenant, host ident.Host) error {
	for _, m := range s.deps.Cluster.Members() {
		if m.Host != host {
			continue
		}
		for _, p := range s.deps.Cluster.InForce().Pools() {
			if p.Name == m.Pool && p.Tenant != tenant {
				return errkind.New(errkind.Forbidden, "host %q serves pool %q of %s", host, p.Name, p.Tenant)
			}
		}
		return nil
	}
	return errkind.New(errkind.NotFound, "no host %q", host)
}

func (s *Server) audit(action string, sc config.SignedChange, outcome string) {
	names := make([]string, 0, len(sc.Signatures))
	for _, signature := range sc.Signatures {
		names = append(names, signature.KeyName)
	}
	s.deps.Logger.Info("audit", zap.String("action", action), telemetry.Scope(sc.Change.Scope),
		zap.Uint64("base", uint64(sc.Change.Base)), telemetry.Author(sc.Change.Author),
		zap.Strings("keys", names), zap.String("outcome", outcome))
}
