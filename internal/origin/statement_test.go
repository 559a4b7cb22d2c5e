package origin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// An answer that is broken or belongs to another request must not end a limit that the
// server has named, and a refusal names one as well as a success does.
func TestStatementsOfAnswers(t *testing.T) {
	none := &advisory.Statement{}
	for _, c := range []struct {
		name   string
		answer string
		want   *advisory.Statement
	}{
		{"none", okAnswer, none},
		{"limit", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLimit: 12.5\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{Limited: true, Limit: 12.5}},
		{"limit of zero", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLimit: 0\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{Limited: true}},
		{"refusal", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nlimit: 3\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{Limited: true, Limit: 3, Leaving: true}},
		{"not a number", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLimit: some\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{InvalidLimit: "some"}},
		{"negative", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLimit: -1\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{InvalidLimit: "-1"}},
		{"broken answer with a limit", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLimit: 7\r\nContent-Length: 9\r\n\r\nhi!", &advisory.Statement{Limited: true, Limit: 7}},
		{"broken answer", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhi!", nil},
		{"no signature", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n", nil},
		{"late answer to another request", "HTTP/1.1 200 OK\r\nId: z\r\nSignature: s\r\nLimit: 1\r\nContent-Length: 0\r\n\r\n" + okAnswer, none},
		{"no answer", "", nil},
		{"load", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLoad: 3, 0,8\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{Load: advisory.ServerLoad{Running: 3, Slots: 8}}},
		{"load with its pace", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLoad: 3,1,8,250,x\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{Load: advisory.ServerLoad{Running: 3, Waiting: 1, Slots: 8, Pace: 2.5}}},
		{"load without a number", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLoad: 3,,8,250\r\nContent-Length: 0\r\n\r\n", none},
		{"load with a negative number", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLoad: 3,-1,8\r\nContent-Length: 0\r\n\r\n", none},
		{"load with another pace", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nLoad: 3,1,8,NaN\r\nContent-Length: 0\r\n\r\n", &advisory.Statement{Load: advisory.ServerLoad{Running: 3, Waiting: 1, Slots: 8}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := ident.NewMonotonicClock()
			client := NewClient(names, 2, clock)
			defer client.Close()
			r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
			a := client.Do(context.Background(), Server{Addr: startScriptedServer(t, c.answer), ID: "i"}, r)
			assert.DeepEqual(t, a.Statement, c.want)
		})
	}
}
