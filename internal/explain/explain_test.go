package explain

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

// collectedLog returns the collected log of several daemons. Each argument is the
// second of the line, the name of the daemon and the fields after the time.
func collectedLog(lines ...string) []LogSource {
	var b strings.Builder
	for _, l := range lines {
		second, rest, _ := strings.Cut(l, " ")
		daemon, rest, _ := strings.Cut(rest, " ")
		fmt.Fprintf(&b, "%s time=2026-05-16T02:43:%sZ level=info %s\n", daemon, second, rest)
	}
	return []LogSource{{Name: "all", Reader: strings.NewReader(b.String())}}
}

var startedLines = []string{
	`00.000 da msg=daemon_started member=10.0.0.1/1 service=s`,
	`00.000 db msg=daemon_started member=10.0.0.2/1 service=s`,
	`00.000 dc msg=daemon_started member=10.0.0.3/1 service=other`,
}

func findRequest(t *testing.T, id string, lines ...string) Report {
	t.Helper()
	r, err := FindRequest(id, collectedLog(append(startedLines, lines...)...))
	assert.NilError(t, err)
	return r
}

func eventNames(lines []Line) string {
	var names []string
	for _, l := range lines {
		names = append(names, l.Source+":"+l.Event)
	}
	return strings.Join(names, " ")
}

func TestRequestRefusedUnderOverload(t *testing.T) {
	r := findRequest(t, "id1",
		`09.000 db msg=ownership_write service=s reason=balance offset=7`,
		`09.100 dc msg=ownership_table service=s offset=7`,
		`10.000 db msg=server_declined request_id=id1 service=s kind=overloaded running=4 waiting=90 slots=4`,
		`10.020 da msg=request_done request_id=id1 service=s hosts=10.0.0.2 outcome=overloaded`,
		`10.020 da msg=request_failed request_id=id1 kind=overloaded status=503 detail="the expected wait passes the deadline"`,
		`10.030 da msg=request_done request_id=id12 service=s hosts=10.0.0.2 outcome=answered`,
	)
	assert.Equal(t, r.Outcome, "overloaded")
	assert.DeepEqual(t, r.Hosts, []string{"10.0.0.2"})
	assert.Equal(t, eventNames(r.Path), "db:server_declined da:request_done da:request_failed")
	assert.Equal(t, eventNames(r.Around), "db:ownership_write")
}

func TestOutcomeUnknownAfterServerLoss(t *testing.T) {
	r := findRequest(t, "id1",
		`09.900 db msg=server_lost service=s server=i-1`,
		`09.950 dc msg=server_lost service=other server=i-2`,
		`10.000 da msg=mesh_disconnected peer=10.0.0.2/1`,
		`10.000 da msg=request_done request_id=id1 service=s hosts="[10.0.0.2]" outcome=outcome-unknown`,
		`10.000 da msg=request_failed request_id=id1 kind=outcome-unknown status=502`,
		`30.000 db msg=server_lost service=s server=i-3`,
	)
	assert.Equal(t, r.Outcome, "outcome-unknown")
	assert.Equal(t, eventNames(r.Around), "db:server_lost da:mesh_disconnected")
}

func TestNotOwnerWhileKeyMoves(t *testing.T) {
	r := findRequest(t, "id1",
		`09.500 dc msg=ownership_write service=s reason=takeover offset=9`,
		`09.500 dc msg=ownership_write service=other reason=balance offset=4`,
		`09.700 db msg=grant_withheld server=i-1 sequence=12`,
		`10.000 da msg=request_again request_id=id1 kind=not-owner after=10ms`,
		`10.900 da msg=request_done request_id=id1 service=s hosts=10.0.0.1,10.0.0.2 outcome=not-owner`,
		`10.901 da msg=request_done request_id=id1.ab service=other hosts=10.0.0.3 outcome=answered`,
	)
	assert.Equal(t, r.Outcome, "not-owner")
	assert.Equal(t, r.Service, "s")
	assert.DeepEqual(t, r.Hosts, []string{"10.0.0.1", "10.0.0.2"})
	assert.Equal(t, eventNames(r.Around), "dc:ownership_write db:grant_withheld")
	assert.Assert(t, len(r.Path) == 3, "the call that its run made is part of the path")
}

func TestContextIsBounded(t *testing.T) {
	lines := []string{`10.000 da msg=request_done request_id=id1 service=s hosts=10.0.0.2 outcome=answered`}
	for range maxContextLines + 5 {
		lines = append(lines, `09.000 db msg=ownership_write service=s reason=balance`)
	}
	r := findRequest(t, "id1", lines...)
	assert.Equal(t, len(r.Around), maxContextLines)
	assert.Equal(t, r.LeftOut, 5)
}

func TestUnknownIDAndInvalidLines(t *testing.T) {
	_, err := FindRequest("id1", []LogSource{{Name: "x", Reader: strings.NewReader("panic: no\ntime=never msg=a\n\ntime=2026-05-16T02:43:00Z level\n")}})
	assert.Assert(t, errors.Is(err, ErrNotFound))
}

// Every key of meanings is "answered" or the name of an error kind.
func TestMeaningsNameKnownKinds(t *testing.T) {
	known := map[string]bool{"answered": true}
	for _, k := range errkind.Kinds() {
		known[k.String()] = true
	}
	for name := range meanings {
		assert.Assert(t, known[name], "%s is no kind", name)
	}
}
