package admin

import (
	"bytes"
	_ "embed"
	"encoding/hex"
	"fmt"
	"html/template"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("status").Parse(pageSource))

// pageVersion is a row of the versions in force.
type pageVersion struct {
	Scope   config.Scope
	Version config.Version
	Author  string
	Time    string
}

// pageData is what the status page shows.
type pageData struct {
	Self     ident.Member
	Alerts   []string
	Digest   string
	Versions []pageVersion
	Members  []api.Member
	Services []api.Service
	Shares   []config.Share
}

// page shows the status of the daemon and its table to people.
func (s *Server) page(c fiber.Ctx) error {
	inForce := s.deps.Cluster.InForce()
	digest := inForce.Digest()
	data := pageData{
		Self:     s.deps.Cluster.Self(),
		Digest:   hex.EncodeToString(digest[:]),
		Members:  s.deps.Cluster.Members(),
		Services: s.servicesInForce(),
		Shares:   inForce.Shares(),
	}
	for _, v := range inForce.Versions() {
		at := time.UnixMilli(v.Time).UTC().Format(time.RFC3339)
		data.Versions = append(data.Versions, pageVersion{Scope: v.Scope, Version: v.Version, Author: v.Author, Time: at})
	}
	data.Alerts = s.alerts(data.Services)
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return fmt.Errorf("admin: status page: %w", err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMETextHTMLCharsetUTF8)
	c.Set(fiber.HeaderContentSecurityPolicy, "default-src 'none'; style-src 'unsafe-inline'")
	return c.Send(out.Bytes())
}

// alerts lists what needs an operator.
func (s *Server) alerts(services []api.Service) []string {
	var list []string
	if err := s.deps.Cluster.Ready(); err != nil {
		list = append(list, "this daemon does not serve callers: "+err.Error())
	}
	for _, svc := range services {
		if len(svc.Members) == 0 {
			list = append(list, fmt.Sprintf("service %s has no backend server", svc.Name))
		}
	}
	if len(s.deps.Cluster.InForce().Versions()) == 0 {
		list = append(list, "no sheet is in force")
	}
	return list
}
