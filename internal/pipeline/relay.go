package pipeline

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

const (
	// maxHops is the number of hops above which a daemon refuses a request.
	maxHops = 3
	// maxRelayedHops is the number of hops above which a daemon that is not the owner
	// refuses a request instead of forwarding it once more.
	maxRelayedHops = 1
)

// relay serves a request from a peer. If this daemon does not own the slice, relay
// forwards the request once more, to the owner by this daemon's ownership table.
type relay struct {
	locator Locator
	peers   Peers
	local   Handler
}

// Handle tries this daemon first, since its leases are authoritative whereas its
// ownership table may be out of date.
func (f *relay) Handle(ctx context.Context, r *Request) (*Response, error) {
	if r.Hops > maxHops {
		return nil, errkind.New(errkind.HopLimit, "%d hops", r.Hops)
	}
	if r.Service.Mode != config.Keyed {
		return f.local.Handle(ctx, r)
	}
	route, err := f.locator.LocateKey(r.Service, r.KeyHash)
	if err != nil {
		return nil, err
	}
	r.Slice = route.Slice
	var body *replayableBody
	if r.Body != nil {
		body = newReplayableBody(r.Body)
		r.Body, _ = body.nextAttempt()
	}
	resp, err := f.local.Handle(ctx, r)
	if err == nil || errkind.Of(err) != errkind.NotOwner || r.Hops > maxRelayedHops {
		return resp, err
	}
	target, ok := firstRemoteTarget(route.Targets, r.Peer)
	if !ok || !rewindBody(r, body) {
		return nil, err
	}
	return f.peers.Forward(ctx, target, r)
}

// firstRemoteTarget returns the first target that is neither this daemon nor the
// sender of the request.
func firstRemoteTarget(targets []Target, sender ident.Member) (Target, bool) {
	for _, t := range targets {
		if !t.Local && t.Member != sender {
			return t, true
		}
	}
	return Target{}, false
}

// rewindBody makes r.Body start again at the first byte. It returns false if the
// start of the body is no longer buffered.
func rewindBody(r *Request, body *replayableBody) bool {
	if body == nil {
		return true
	}
	b, ok := body.nextAttempt()
	r.Body = b
	return ok
}
