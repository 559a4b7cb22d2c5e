package ctl

import (
	"cmp"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"slices"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// sinceView is what happened after the newest version of each scope.
type sinceView struct {
	Scopes  []scopeSince `json:"scopes"`
	Traffic []traffic    `json:"traffic"`
}

// scopeSince counts records of the control stream after a version.
type scopeSince struct {
	Scope        config.Scope   `json:"scope"`
	Version      config.Version `json:"version"`
	Found        bool           `json:"found"` // the log still holds the change
	SlicesMoved  int            `json:"slices_moved"`
	HostsDrained int            `json:"hosts_drained"`
	HostsLeft    int            `json:"hosts_left"`
}

// traffic sets a tenant's use of a region against its share, since the newest
// version of any scope.
type traffic struct {
	Region       ident.Region `json:"region"`
	Tenant       ident.Tenant `json:"tenant"`
	SharePercent float64      `json:"share_percent"`
	Requests     uint64       `json:"requests"`
	Refusals     uint64       `json:"refusals"`
	SlotMillis   uint64       `json:"slot_ms"`
	SlotPercent  float64      `json:"slot_percent"` // of the region's slot time
}

// since reads from the log what happened after the versions came into force.
func (a *app) since(ctx context.Context, logURL string, versions []api.ScopeVersion, shares []config.Share) (*sinceView, error) {
	log, err := a.logClient(logURL)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	view := &sinceView{}
	byDigest := map[string]int{}
	for i, v := range versions {
		byDigest[v.Digest] = i
		view.Scopes = append(view.Scopes, scopeSince{Scope: v.Scope, Version: v.Version})
	}
	_, err = readStream(ctx, log, logservice.ControlStream, func(e logservice.Entry) {
		envelope, err := record.Decode(e.Data)
		if err == nil {
			view.count(envelope.Body, byDigest)
		}
	})
	if err != nil {
		return nil, err
	}
	r, err := a.readUsage(ctx, logURL)
	if err != nil {
		return nil, err
	}
	view.Traffic = trafficOf(r.report.Statements, newestTime(versions), shares)
	return view, nil
}

// count adds a record to every scope whose version was seen before it.
func (v *sinceView) count(body record.Body, byDigest map[string]int) {
	if changed, ok := body.(*record.ConfigChanged); ok {
		digest := changed.Change.Change.Digest()
		if i, ok := byDigest[hex.EncodeToString(digest[:])]; ok {
			v.Scopes[i].Found = true
		}
		return
	}
	for i := range v.Scopes {
		if s := &v.Scopes[i]; s.Found {
			s.count(body)
		}
	}
}

func (s *scopeSince) count(body record.Body) {
	switch b := body.(type) {
	case *record.Assigned:
		s.SlicesMoved += len(b.Moves)
	case *record.BackendChanged:
		if b.Draining {
			s.HostsDrained++
		}
	case *record.MemberLeft:
		s.HostsLeft++
	}
}

func newestTime(versions []api.ScopeVersion) int64 {
	var newest int64
	for _, v := range versions {
		newest = max(newest, v.TimeMS)
	}
	return newest
}

// trafficOf sums the statements that end after a time, by region and tenant.
func trafficOf(statements []usage.Statement, after int64, shares []config.Share) []traffic {
	recent := slices.DeleteFunc(slices.Clone(statements), func(s usage.Statement) bool { return s.To <= after })
	type key struct {
		region ident.Region
		tenant ident.Tenant
	}
	sums := map[key]*traffic{}
	at := func(k key) *traffic {
		if sums[k] == nil {
			sums[k] = &traffic{Region: k.region, Tenant: k.tenant}
		}
		return sums[k]
	}
	for _, s := range shares {
		at(key{s.Region, s.Tenant}).SharePercent = s.Percent
	}
	slotTime := map[ident.Region]uint64{}
	for _, t := range usage.SumTotals(recent) {
		sum := at(key{t.Region, t.Tenant})
		sum.Requests += t.Requests
		sum.Refusals += t.Refusals
		sum.SlotMillis += t.SlotMillis
		slotTime[t.Region] += t.SlotMillis
	}
	list := make([]traffic, 0, len(sums))
	for _, t := range sums {
		if all := slotTime[t.Region]; all > 0 {
			t.SlotPercent = 100 * float64(t.SlotMillis) / float64(all)
		}
		list = append(list, *t)
	}
	slices.SortFunc(list, func(x, y traffic) int {
		return cmp.Or(cmp.Compare(x.Region, y.Region), cmp.Compare(x.Tenant, y.Tenant))
	})
	return list
}

func (v *sinceView) write(w io.Writer) {
	g := grid{header: []string{"since", "version", "slices moved", "hosts drained", "hosts left"}}
	for _, s := range v.Scopes {
		if !s.Found {
			g.add(string(s.Scope), fmt.Sprint(s.Version), "no longer in the log", "", "")
			continue
		}
		g.add(string(s.Scope), fmt.Sprint(s.Version), fmt.Sprint(s.SlicesMoved), fmt.Sprint(s.HostsDrained), fmt.Sprint(s.HostsLeft))
	}
	fmt.Fprintln(w)
	g.write(w)
	g = grid{header: []string{"region", "tenant", "share", "slot time", "requests", "refusals"}}
	for _, t := range v.Traffic {
		g.add(string(t.Region), string(t.Tenant), fmt.Sprintf("%g%%", t.SharePercent),
			fmt.Sprintf("%.1f%%", t.SlotPercent), fmt.Sprint(t.Requests), fmt.Sprint(t.Refusals))
	}
	fmt.Fprintln(w)
	g.write(w)
}
