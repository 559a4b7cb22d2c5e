package hop

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/linkroom"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// BenchmarkSend sends small requests to a daemon on a fast link and to one on a slow link.
func BenchmarkSend(b *testing.B) {
	for name, mbps := range map[string]float64{"fast": 1000, "slow": slowMbps} {
		b.Run(name, func(b *testing.B) {
			clock := ident.NewMonotonicClock()
			to, peer := startMesh(b, "b", nil, func(c *mesh.Config) { c.UnpacedBytes = linkroom.UnpacedBytes(mbps) })
			s := NewServer(echoAnswer{}, &BodyBudget{}, clock, zap.NewNop())
			s.SetLinkRoom(NewLinkRoom(mbps, to.BytesReceived, clock), nil)
			to.SetHandlers(noControl{}, s)
			from, _ := startMesh(b, "a", nil)
			client := NewClient(from, clock)
			r := &Request{ID: "i", Method: "POST", URI: "/a", Key: NoKey, Deadline: clock.Now().Add(time.Hour), Body: make([]byte, 256)}
			b.ReportAllocs()
			for b.Loop() {
				if a := client.Send(context.Background(), peer, r); a.Failure != nil {
					b.Fatal(a.Failure)
				}
			}
		})
	}
}
