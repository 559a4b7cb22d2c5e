package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"runtime/debug"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func (a *app) serviceCommand() *ffcli.Command {
	return a.group("service", "burdockctl service <command>", "Show services in force.",
		a.leaf("service ", leaf{
			name: "list", help: "List the services in force.",
			run: func(ctx context.Context, _ []string) error {
				return a.showServices(ctx, "")
			},
		}),
		a.leaf("service ", leaf{
			name: "show", args: "<service>", min: 1, max: 1, help: "Show one service and the hosts that serve it.",
			run: func(ctx context.Context, args []string) error {
				return a.showServices(ctx, ident.Service(args[0]))
			},
		}),
	)
}

// showServices prints all services, or the one named.
func (a *app) showServices(ctx context.Context, name ident.Service) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var all api.Services
	if err := c.get(ctx, a.admin, api.PathServices, &all); err != nil {
		return err
	}
	if name == "" {
		return a.printGrid(all, servicesGrid(all.Services))
	}
	for _, s := range all.Services {
		if s.Name == name {
			return a.print(s, func(w io.Writer) { writeService(w, s) })
		}
	}
	return exitf(ExitProblem, "no service %q is in force", name)
}

func servicesGrid(services []api.Service) grid {
	g := grid{header: []string{"service", "tenant", "mode", "pool", "slices", "deadline", "repeatable", "hosts"}}
	for _, s := range services {
		g.add(string(s.Name), string(s.Tenant), string(s.Mode), string(s.Pool), fmt.Sprint(s.Slices),
			fmt.Sprintf("%d ms", s.DeadlineMS), fmt.Sprint(s.Repeatable), fmt.Sprint(len(s.Members)))
	}
	return g
}

func writeService(w io.Writer, s api.Service) {
	hosts := make([]string, len(s.Members))
	for i, h := range s.Members {
		hosts[i] = string(h)
	}
	fmt.Fprintf(w, "service     %s\ntenant      %s\nmode        %s\npool        %s\n", s.Name, s.Tenant, s.Mode, s.Pool)
	if s.Slices > 0 {
		fmt.Fprintf(w, "slices      %d\nkey from    %s\n", s.Slices, s.KeyFrom)
	}
	fmt.Fprintf(w, "deadline    %d ms\nmax body    %d bytes\nrepeatable  %t\nhosts       %s\n",
		s.DeadlineMS, s.MaxBody, s.Repeatable, strings.Join(hosts, " "))
}

func (a *app) keyCommand() *ffcli.Command {
	return a.group("key", "burdockctl key <command>", "Find keys of services.",
		a.leaf("key ", leaf{
			name: "locate", args: "<service> <key>", min: 2, max: 2, help: "Show which daemon owns a key.",
			run: func(ctx context.Context, args []string) error {
				c, err := a.client()
				if err != nil {
					return err
				}
				q := url.Values{"service": {args[0]}, "key": {args[1]}}
				var l api.Location
				if err := c.get(ctx, a.admin, api.PathLocate+"?"+q.Encode(), &l); err != nil {
					return err
				}
				return a.print(l, func(w io.Writer) { writeLocation(w, l) })
			},
		}),
	)
}

func writeLocation(w io.Writer, l api.Location) {
	owner := "none at the moment"
	if !l.Owner.IsZero() {
		owner = fmt.Sprintf("%s at %s", l.Owner, l.CallerAddr)
	}
	fmt.Fprintf(w, "key    %s of %s\nslice  %d\nepoch  %s\nowner  %s\n", l.Key, l.Service, l.Slice, l.Epoch, owner)
}

func (a *app) memberCommand() *ffcli.Command {
	var keys keyFlags
	return a.group("member", "burdockctl member <command>", "Show and drain daemons.",
		a.leaf("member ", leaf{
			name: "list", help: "List the daemons.",
			run: func(ctx context.Context, _ []string) error {
				c, err := a.client()
				if err != nil {
					return err
				}
				var all api.Members
				if err := c.get(ctx, a.admin, api.PathMembers, &all); err != nil {
					return err
				}
				return a.printGrid(all, membersGrid(all.Members))
			},
		}),
		a.leaf("member ", leaf{
			name: "drain", args: "<host>", min: 1, max: 1,
			help:  "Move the work of a host elsewhere and let its daemon leave.",
			flags: keys.register,
			run: func(ctx context.Context, args []string) error {
				return a.drain(ctx, ident.Host(args[0]), keys)
			},
		}),
	)
}

func membersGrid(members []api.Member) grid {
	g := grid{header: []string{"host", "incarnation", "region", "domain", "pool", "slices", "state", "admin"}}
	for _, m := range members {
		state := "serving"
		switch {
		case m.Draining:
			state = "draining"
		case m.Pool == "":
			state = "no server"
		}
		g.add(string(m.Host), fmt.Sprint(m.Incarnation), string(m.Region), string(m.FailureDomain),
			string(m.Pool), fmt.Sprint(m.Slices), state, m.AdminAddr)
	}
	return g
}

// drain asks the host's own daemon to drain.
func (a *app) drain(ctx context.Context, host ident.Host, flags keyFlags) error {
	keys, err := flags.load()
	if err != nil {
		return err
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	base, err := a.adminOf(ctx, c, host)
	if err != nil {
		return err
	}
	path := api.DrainPath(host)
	proof, err := api.NewProof(fasthttp.MethodPost, path, keys[0].name, keys[0].key, a.env.Now())
	if err != nil {
		return err
	}
	body, err := json.Marshal(proof)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	var status api.Status
	if _, err := c.do(ctx, fasthttp.MethodPost, base+path, "application/json", body, &status); err != nil {
		return err
	}
	return a.print(status, func(w io.Writer) { fmt.Fprintf(w, "%s drains; see member list\n", host) })
}

func (a *app) adminOf(ctx context.Context, c *client, host ident.Host) (string, error) {
	var all api.Members
	if err := c.get(ctx, a.admin, api.PathMembers, &all); err != nil {
		return "", err
	}
	for _, m := range all.Members {
		if m.Host == host {
			return c.urlOf(m.AdminAddr), nil
		}
	}
	return "", exitf(ExitProblem, "no daemon on host %q", host)
}

// versionView is the output of version.
type versionView struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (a *app) versionCommand() *ffcli.Command {
	return a.leaf("", leaf{
		name: "version", help: "Show the version of this program.",
		run: func(context.Context, []string) error {
			v := versionView{Version: "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				v.Version, v.Go = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						v.Revision = s.Value
					}
				}
			}
			return a.print(v, func(w io.Writer) { fmt.Fprintln(w, "burdockctl", v.Version, v.Revision, v.Go) })
		},
	})
}
