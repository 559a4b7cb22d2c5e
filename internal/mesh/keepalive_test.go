package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection in use is pinged often, one that nothing uses rarely: the number of
// connections grows with the square of the number of daemons.
func TestKeepaliveFollowsUse(t *testing.T) {
	c := &Config{PingInterval: time.Second, PingTimeout: 2500 * time.Millisecond, IdlePingInterval: 15 * time.Second, IdleTime: 2 * time.Minute}
	quiet := activity{sinceRead: 2 * time.Second, sinceWrite: 2 * time.Second, sinceUse: 10 * time.Second, dialed: true}
	assert.Equal(t, c.keepalive(quiet), keepaliveNone)
	used := quiet
	used.sinceUse = time.Second
	assert.Equal(t, c.keepalive(used), keepalivePing)
	withStream := quiet
	withStream.streams = 1
	assert.Equal(t, c.keepalive(withStream), keepalivePing)
	quiet.sinceRead, quiet.sinceWrite = 15*time.Second, 15*time.Second
	assert.Equal(t, c.keepalive(quiet), keepalivePing)
	quiet.sinceUse = c.IdleTime
	assert.Equal(t, c.keepalive(quiet), keepaliveIdle)

	// A request on a connection that was silent for long must not be taken for lost
	// before a ping of its own is unanswered.
	long := activity{sinceRead: 14 * time.Second, sinceWrite: 0, sinceUse: 0, streams: 1, dialed: true}
	assert.Equal(t, c.keepalive(long), keepalivePing)
	long.awaitingPong = 1500 * time.Millisecond
	assert.Equal(t, c.keepalive(long), keepaliveDead)

	served := activity{sinceRead: 16 * time.Second}
	assert.Equal(t, c.keepalive(served), keepaliveNone)
	served.sinceRead = 16500 * time.Millisecond
	assert.Equal(t, c.keepalive(served), keepaliveDead)
}
