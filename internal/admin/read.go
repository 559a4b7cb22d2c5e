package admin

import (
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/sheet"
)

const (
	defaultUsageLimit = 100
	maxUsageLimit     = 1000
)

func (s *Server) health(c fiber.Ctx) error {
	return c.JSON(api.Status{Member: s.deps.Cluster.Self(), OK: true})
}

func (s *Server) ready(c fiber.Ctx) error {
	status := api.Status{Member: s.deps.Cluster.Self(), OK: true}
	if err := s.deps.Cluster.Ready(); err != nil {
		status.OK = false
		status.Reason = err.Error()
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(status)
}

func (s *Server) openAPI(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "application/yaml")
	return c.Send(api.OpenAPI)
}

func (s *Server) members(c fiber.Ctx) error {
	return c.JSON(api.Members{Members: s.deps.Cluster.Members()})
}

func (s *Server) services(c fiber.Ctx) error {
	return c.JSON(api.Services{Services: s.servicesInForce()})
}

func (s *Server) servicesInForce() []api.Service {
	hosts := map[ident.Pool][]ident.Host{}
	for _, m := range s.deps.Cluster.Members() {
		hosts[m.Pool] = append(hosts[m.Pool], m.Host)
	}
	var list []api.Service
	for _, svc := range s.deps.Cluster.InForce().Services() {
		list = append(list, api.Service{
			Name: svc.Name, Tenant: svc.Tenant, Mode: svc.Mode, Pool: svc.Pool,
			Slices: svc.Slices, KeyFrom: svc.KeyFrom, DeadlineMS: svc.Deadline.Milliseconds(),
			MaxBody: svc.MaxBody, Repeatable: svc.Repeatable, Members: hosts[svc.Pool],
		})
	}
	return list
}

func (s *Server) locate(c fiber.Ctx) error {
	name, key := c.Query("service"), c.Query("key")
	svc, ok := s.deps.Cluster.InForce().Service(ident.Service(name))
	switch {
	case !ok:
		return errkind.New(errkind.UnknownService, "no service %q is in force", name)
	case svc.Mode != config.Keyed:
		return errkind.New(errkind.Malformed, "service %q is not keyed", name)
	case key == "":
		return errkind.New(errkind.KeyMissing, "the query parameter key is missing")
	}
	location, err := s.deps.Cluster.Locate(svc, []byte(key))
	if err != nil {
		return err
	}
	return c.JSON(location)
}

func (s *Server) sheet(c fiber.Ctx) error {
	inForce := s.deps.Cluster.InForce()
	digest := inForce.Digest()
	out := api.Sheet{Member: s.deps.Cluster.Self(), Digest: hex.EncodeToString(digest[:])}
	for _, v := range inForce.Versions() {
		out.Versions = append(out.Versions, scopeVersion(v))
	}
	if c.Query("documents") != "true" {
		return c.JSON(out)
	}
	out.Documents = map[config.Scope]string{}
	for _, v := range inForce.Versions() {
		text, err := canonicalCSV(inForce.Document(v.Scope))
		if err != nil {
			return err
		}
		out.Documents[v.Scope] = text
	}
	return c.JSON(out)
}

// canonicalCSV returns the document as a sheet; one without entries is empty.
func canonicalCSV(d config.Document) (string, error) {
	if len(d.Services)+len(d.Pools)+len(d.Shares)+len(d.Keys) == 0 {
		return "", nil
	}
	var b strings.Builder
	if err := sheet.Write(&b, d); err != nil {
		return "", err
	}
	return b.String(), nil
}

func scopeVersion(v config.ScopeVersion) api.ScopeVersion {
	return api.ScopeVersion{
		Scope: v.Scope, Version: v.Version, Author: v.Author, TimeMS: v.Time, Digest: hex.EncodeToString(v.Digest[:]),
	}
}

func (s *Server) history(c fiber.Ctx) error {
	var out api.History
	for _, e := range slices.Backward(s.deps.Cluster.InForce().History()) {
		out.Entries = append(out.Entries, api.HistoryEntry{
			ScopeVersion: scopeVersion(e.Version), Added: e.Added, Changed: e.Changed, Removed: e.Removed,
		})
	}
	return c.JSON(out)
}

func (s *Server) usage(c fiber.Ctx) error {
	bounds, err := s.deps.Log.Bounds(c.Context(), logservice.UsageStream)
	if err != nil {
		return errkind.New(errkind.LogUnavailable, "usage: %w", err)
	}
	from, err := queryUint(c, "from", uint64(bounds.Oldest))
	if err != nil {
		return err
	}
	limit, err := queryUint(c, "limit", defaultUsageLimit)
	if err != nil {
		return err
	}
	out := api.Usage{Oldest: bounds.Oldest, Next: bounds.Next}
	start := max(ident.Offset(from), bounds.Oldest)
	if start >= bounds.Next {
		return c.JSON(out)
	}
	entries, err := s.deps.Log.Read(c.Context(), logservice.UsageStream, start, int(min(limit, maxUsageLimit)))
	if err != nil {
		return errkind.New(errkind.LogUnavailable, "usage: %w", err)
	}
	for _, e := range entries {
		out.Entries = append(out.Entries, api.UsageEntry{Offset: e.Offset, Data: e.Data})
	}
	return c.JSON(out)
}

func queryUint(c fiber.Ctx, name string, standard uint64) (uint64, error) {
	text := c.Query(name)
	if text == "" {
		return standard, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errkind.New(errkind.Malformed, "query parameter %s: %w", name, err)
	}
	return n, nil
}
