package daemon

import (
	"errors"
	"net"

	"github.com/burdockfold/burdockfold/internal/settings"
)

// ports are the open listeners of a daemon.
type ports struct {
	caller net.Listener
	mesh   net.Listener
	local  net.Listener
	admin  net.Listener
}

func openPorts(s settings.Settings) (*ports, error) {
	p := &ports{}
	var errs []error
	open := func(addr string) net.Listener {
		ln, err := net.Listen("tcp", addr)
		errs = append(errs, err)
		return ln
	}
	p.caller = open(s.Listen.Caller)
	p.mesh = open(s.Listen.Mesh)
	p.local = open(s.Listen.Local)
	p.admin = open(s.Listen.Admin)
	if err := errors.Join(errs...); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *ports) close() {
	for _, ln := range []net.Listener{p.caller, p.mesh, p.local, p.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (p *ports) addresses() settings.Addresses {
	return settings.Addresses{
		Caller: p.caller.Addr().String(),
		Mesh:   p.mesh.Addr().String(),
		Local:  p.local.Addr().String(),
		Admin:  p.admin.Addr().String(),
	}
}

// advertised are the addresses by which others reach the daemon.
func advertised(s settings.Settings, p *ports) settings.Addresses {
	a := p.addresses()
	replace := func(dst *string, v string) {
		if v != "" {
			*dst = v
		}
	}
	replace(&a.Caller, s.Advertise.Caller)
	replace(&a.Mesh, s.Advertise.Mesh)
	replace(&a.Admin, s.Advertise.Admin)
	return a
}
