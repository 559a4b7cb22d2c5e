package backend

import (
	"encoding/json"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

const (
	maxAnnouncementBytes = 16 << 10
	localPortTimeout     = 5 * time.Second
)

// LocalPort is the HTTP server at which the backend server announces itself.
type LocalPort struct {
	app      *fiber.App
	registry *Registry
	log      *zap.Logger
}

// NewLocalPort returns a port that stores announcements in registry.
func NewLocalPort(registry *Registry, log *zap.Logger) *LocalPort {
	p := &LocalPort{registry: registry, log: log}
	p.app = fiber.New(fiber.Config{
		BodyLimit:    maxAnnouncementBytes,
		ReadTimeout:  localPortTimeout,
		WriteTimeout: localPortTimeout,
	})
	p.app.Put(PathAnnounce, p.announce)
	p.app.Delete(PathAnnounce, p.withdraw)
	return p
}

// Serve serves requests on ln until Close is called.
func (p *LocalPort) Serve(ln net.Listener) error {
	return p.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Close stops Serve and waits up to localPortTimeout for running requests.
func (p *LocalPort) Close() error { return p.app.ShutdownWithTimeout(localPortTimeout) }

func (p *LocalPort) announce(c fiber.Ctx) error {
	a, err := DecodeAnnouncement(c.Body())
	if err != nil {
		p.log.Warn("announcement_refused", zap.Error(err))
		return c.Status(fiber.StatusUnprocessableEntity).SendString(err.Error())
	}
	p.registry.Announce(a)
	return replyJSON(c, AnnounceReply{
		RenewMS: RenewInterval.Milliseconds(),
		HoldMS:  AnnouncementTTL.Milliseconds(),
	})
}

func (p *LocalPort) withdraw(c fiber.Ctx) error {
	p.registry.Withdraw()
	return c.SendStatus(fiber.StatusNoContent)
}

// replyJSON sends v as JSON.
func replyJSON(c fiber.Ctx, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(data)
}
