package connlimit

import (
	"net"
	"slices"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Above the limit the connection that has been idle for longest is closed, never one on which
// a request is served.
func TestSurplusConnectionIsTheLongestIdle(t *testing.T) {
	table := NewTable(3)
	var conns []net.Conn
	for range 5 {
		c, other := net.Pipe()
		defer func() { _, _ = c.Close(), other.Close() }()
		conns = append(conns, c)
	}
	record := func(i int, s fasthttp.ConnState) net.Conn { return table.record(conns[i], s) }
	for i := range 3 {
		assert.Assert(t, record(i, fasthttp.StateNew) == nil)
		record(i, fasthttp.StateActive)
	}
	assert.Equal(t, table.Active(), 0, "nothing was read yet")
	table.Begin(conns[0])
	table.Begin(conns[1])
	assert.Equal(t, table.Active(), 2)
	record(1, fasthttp.StateIdle)
	assert.Equal(t, table.Active(), 1)
	assert.Assert(t, record(3, fasthttp.StateNew) == conns[2])
	assert.Assert(t, record(4, fasthttp.StateNew) == conns[1])
	record(2, fasthttp.StateClosed)
	record(0, fasthttp.StateClosed)
	assert.Equal(t, table.Active(), 0)
	assert.Equal(t, len(table.conns), 2)
	assert.Equal(t, table.waiting[idle].Len(), 2)
}

// Clients keep all connections busy: with requests that never end, and with answers that they do
// not take. Each new client gets a connection and is served; one that is served is never cut.
func TestHeldConnectionsLeaveRoomForOthers(t *testing.T) {
	const limit = 6
	table := NewTable(limit)
	open := func() (net.Conn, net.Conn) {
		c, other := net.Pipe()
		t.Cleanup(func() { _, _ = c.Close(), other.Close() })
		return c, table.record(c, fasthttp.StateNew)
	}
	var held []net.Conn
	for i := range limit {
		c, surplus := open()
		assert.Assert(t, surplus == nil)
		table.Begin(c)
		switch {
		case i < 2:
			table.Slow(c)
		case i < 4:
			table.record(c, fasthttp.StateIdle)
			table.record(c, fasthttp.StateActive)
		}
		held = append(held, c)
	}
	for _, want := range []net.Conn{held[2], held[3], held[0], held[1]} { // requests, then answers
		c, surplus := open()
		assert.Assert(t, surplus == want)
		table.record(surplus, fasthttp.StateClosed)
		table.Begin(c)
	}
	c, surplus := open()
	assert.Assert(t, surplus == c, "all others are being served")
	assert.Equal(t, len(table.conns), limit)
	assert.Equal(t, table.Active(), limit)
}

// A client that sends the body of its first request keeps its connection while others have sent
// nothing.
func TestFirstBodyIsNotIdle(t *testing.T) {
	table := NewTable(2)
	var conns []net.Conn
	for range 3 {
		c, other := net.Pipe()
		defer func() { _, _ = c.Close(), other.Close() }()
		conns = append(conns, c)
	}
	table.record(conns[0], fasthttp.StateNew)
	table.Reading(conns[0])
	table.record(conns[1], fasthttp.StateNew)
	assert.Assert(t, table.record(conns[2], fasthttp.StateNew) == conns[1])
}

// Clients leave their answers unread. Those that have done so for longest lose their connections
// until the rest is within the limit; an answer that is on its way is left to its client.
func TestUnreadAnswersAreBounded(t *testing.T) {
	var all []idleConn
	for i := range 10 {
		c, other := net.Pipe()
		defer func() { _, _ = c.Close(), other.Close() }()
		all = append(all, idleConn{c, 1000, i != 0 && i < 8})
	}
	assert.Equal(t, len(chooseUnread(all, 10_000)), 0)
	assert.DeepEqual(t, indexes(all, chooseUnread(all, 7_500)), []int{1, 2, 3})
	assert.Equal(t, len(chooseUnread(all, 0)), 7, "three were seen for the first time")

	table := NewTable(100)
	table.LimitUnread(1000, 2000)
	for i := range 3 {
		assert.Equal(t, len(table.crowded), 0)
		table.record(all[i].conn, fasthttp.StateNew)
	}
	assert.Equal(t, len(table.crowded), 1, "three might hold 3000 bytes")
}

func indexes(all []idleConn, chosen []net.Conn) []int {
	var found []int
	for i, c := range all {
		if slices.Contains(chosen, c.conn) {
			found = append(found, i)
		}
	}
	return found
}
