package relay

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func daemons(n, domains int) []Daemon {
	var ds []Daemon
	for i := range n {
		l := ident.Location{Region: "r", FailureDomain: ident.FailureDomain(fmt.Sprint("d", i%domains))}
		ds = append(ds, Daemon{Host: ident.Host(fmt.Sprintf("h%03d", i)), Location: l, Reachable: true})
	}
	return ds
}

// Of 295 daemons in nine failure domains, 18 relay. A lost relay is replaced.
func TestRelaysOfEachDomain(t *testing.T) {
	ds := daemons(295, 9)
	relays := Relays(ds)
	assert.Equal(t, len(relays), 9)
	first := ds[0]
	assert.DeepEqual(t, relays[first.Location], []ident.Host{"h000", "h009"})
	assert.Assert(t, IsRelay(relays, "h009", first.Location))
	assert.Assert(t, !IsRelay(relays, "h018", first.Location))
	ds[0].Reachable = false
	assert.DeepEqual(t, Relays(ds)[first.Location], []ident.Host{"h009", "h018"})
}

// Two daemons of which one does not know the last host yet share most monitors, in
// whatever order they know the others.
func TestMonitorsHardlyDependOnTheView(t *testing.T) {
	var hosts []ident.Host
	for _, d := range daemons(117, 9) {
		hosts = append(hosts, d.Host)
	}
	all := Monitors(hosts)
	assert.Equal(t, len(all), monitorCount)
	for missing := range hosts {
		some := slices.Concat(hosts[missing+1:], hosts[:missing])
		shared := 0
		for _, m := range Monitors(some) {
			if slices.Contains(all, m) {
				shared++
			}
		}
		assert.Assert(t, shared >= monitorCount-1)
	}
	assert.Equal(t, len(Monitors(hosts[:2])), 2)
}
