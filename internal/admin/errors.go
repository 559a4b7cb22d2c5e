package admin

import (
	"errors"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// writeError answers with problem details and writes a log line.
func (s *Server) writeError(c fiber.Ctx, err error) error {
	e := errkind.As(ofFiber(err))
	answer := e.Answer()
	s.deps.Logger.Info("admin_request_refused",
		zap.String("method", c.Method()), zap.String("path", c.Path()),
		telemetry.ErrorKind(e), zap.Error(e))
	if seconds := answer.RetryAfterSeconds(); seconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.Status(answer.Status).JSON(e.Problem(c.Path()), errkind.ProblemMediaType)
}

// ofFiber gives an error of the HTTP library a kind of the closed list.
func ofFiber(err error) error {
	var e *fiber.Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return errkind.New(errkind.NotFound, "%w", err)
	case fiber.StatusRequestEntityTooLarge:
		return errkind.New(errkind.BodyTooLarge, "%w", err)
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return errkind.New(errkind.HeaderTooLarge, "%w", err)
	case fiber.StatusRequestTimeout:
		return errkind.New(errkind.BodyTimeout, "%w", err)
	default:
		return errkind.New(errkind.Malformed, "%w", err)
	}
}
