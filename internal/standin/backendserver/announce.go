package backendserver

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/backend"
)

const announceTimeout = 500 * time.Millisecond

func (s *Server) announceLoop(ctx context.Context) error {
	t := time.NewTicker(backend.RenewInterval / 2)
	defer t.Stop()
	s.announce()
	for {
		select {
		case <-ctx.Done():
			s.withdraw()
			return nil
		case <-t.C:
			s.announce()
		}
	}
}

// announce sends one announcement; a lost one is made good by the next.
func (s *Server) announce() {
	f := s.faults.get()
	if f.SilentAnnounce {
		return
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	used := uint32(len(s.slots))
	if f.FalseLoad {
		used = 0
	}
	a := backend.Announcement{
		Pool:            s.cfg.Pool,
		Addr:            s.Addr(),
		Instance:        s.instance,
		Slots:           s.cfg.Slots,
		Connections:     s.cfg.Connections,
		ChecksGrants:    s.cfg.ChecksGrants,
		ColdStartMS:     s.cfg.ColdStart.Milliseconds(),
		AcceptsCancel:   true,
		AcceptsDeadline: true,
		ReportsLoad:     true,
		Draining:        draining,
		SlotsInUse:      used,
	}
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	s.callDaemon(fasthttp.MethodPut, body)
}

func (s *Server) withdraw() { s.callDaemon(fasthttp.MethodDelete, nil) }

func (s *Server) callDaemon(method string, body []byte) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.cfg.DaemonLocal + backend.PathAnnounce)
	req.SetBodyRaw(body)
	req.SetConnectionClose()
	_ = fasthttp.DoTimeout(req, resp, announceTimeout)
}
