package mesh

import "time"

// activeIntervals is for how many ping intervals after its last use a connection is
// pinged as often as one in use.
const activeIntervals = 5

// activity is what a connection has seen.
type activity struct {
	sinceRead    time.Duration // since the last message received
	sinceWrite   time.Duration // since the last message sent
	sinceUse     time.Duration // since the last control message or the end of a stream
	awaitingPong time.Duration // since the first ping after the last message received; zero if there was none
	streams      int           // open streams
	dialed       bool          // this side dialed the connection, and so sends the pings
}

// keepaliveAction is what the writer of a connection must do.
type keepaliveAction uint8

const (
	keepaliveNone keepaliveAction = iota
	keepalivePing
	keepaliveIdle // close the connection, because nothing uses it
	keepaliveDead // close the connection, because the peer is silent
)

// isActive reports whether the connection has open streams or was used a short time ago.
func (c *Config) isActive(a activity) bool {
	return a.streams > 0 || a.sinceUse < activeIntervals*c.PingInterval
}

// pingInterval returns the silence after which a ping is due. A daemon has connections
// to most others and uses few of them at a time; the others are pinged rarely.
func (c *Config) pingInterval(a activity) time.Duration {
	if c.isActive(a) {
		return c.PingInterval
	}
	return c.IdlePingInterval
}

// keepalive decides what a connection needs. Only the dialing side pings: the ping and
// its pong keep both sides from timing out. The dialing side counts from its first
// unanswered ping, because before it the peer had no reason to send anything.
func (c *Config) keepalive(a activity) keepaliveAction {
	switch {
	case !a.dialed && a.sinceRead >= c.PingTimeout+c.IdlePingInterval-c.PingInterval:
		return keepaliveDead
	case !a.dialed:
		return keepaliveNone
	case a.awaitingPong > 0 && a.awaitingPong >= c.PingTimeout-c.PingInterval:
		return keepaliveDead
	case a.sinceUse >= c.IdleTime && a.streams == 0:
		return keepaliveIdle
	case max(a.sinceRead, a.sinceWrite) >= c.pingInterval(a):
		return keepalivePing
	}
	return keepaliveNone
}

// activity returns what the connection has seen up to now.
func (c *conn) activity() activity {
	now := c.m.now()
	a := activity{
		sinceRead:  time.Duration(now - c.lastRead.Load()),
		sinceWrite: time.Duration(now - c.lastWrite.Load()),
		sinceUse:   time.Duration(now - c.lastUsed.Load()),
		streams:    c.streamCount(),
		dialed:     c.dialed,
	}
	if pinged := c.pingedAt.Load(); pinged > c.lastRead.Load() {
		a.awaitingPong = time.Duration(now - pinged)
	}
	return a
}

// keepalive returns an error if the connection is dead or idle, and otherwise sends a
// ping when one is due. It returns the time until the next check.
func (c *conn) keepalive() (next time.Duration, err error) {
	a := c.activity()
	switch c.cfg.keepalive(a) {
	case keepaliveDead:
		return 0, errPingTimeout
	case keepaliveIdle:
		return 0, errIdle
	case keepalivePing:
		if a.awaitingPong == 0 {
			c.pingedAt.Store(c.m.now())
		}
		c.sendEmptyFrame(framePing)
	case keepaliveNone:
	}
	return c.checkInterval(a), nil
}

// checkInterval returns the time until the next check of a connection. While a ping is
// unanswered, it is short.
func (c *conn) checkInterval(a activity) time.Duration {
	if c.pingedAt.Load() > c.lastRead.Load() {
		return c.cfg.PingInterval / 2
	}
	return c.cfg.pingInterval(a) / 2
}
