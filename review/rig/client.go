package rig

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// Answer is what a client saw of a request.
type Answer struct {
	ID        string
	Status    int // 0 if the connection ended without a whole answer
	Signature string
	Body      string
	Err       error
	Sent, End time.Duration
}

var transport = &http.Transport{DisableKeepAlives: true}

// Send sends a request to the daemon of the host over a connection of its own. Key -1 is none.
func (n *Node) Send(id, method, path string, key int, body []byte, budget time.Duration) Answer {
	a := Answer{ID: id, Sent: n.rig.Rec.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.CallerAddr()+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if key >= 0 {
		req.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Body, a.Signature = string(b), resp.Header.Get("X-Server-Signature")
		if err == nil {
			a.Status = resp.StatusCode
		}
	}
	a.Err, a.End = err, n.rig.Rec.Now()
	n.rig.Rec.Printf("client at %s: %s %s %s key %d: status %d (%v) after %v", n.IP, id, method, path, key, a.Status, err, a.End-a.Sent)
	return a
}

// SlowGet sends a GET over a connection of its own and reads the answer at a rate in bytes per
// second, as a client behind a slow link does. It returns what arrived of the body, and its
// announced length.
func (n *Node) SlowGet(id, path string, budget time.Duration, rate int) (a Answer, got, announced int) {
	a = Answer{ID: id, Sent: n.rig.Rec.Now()}
	defer func() {
		a.End = n.rig.Rec.Now()
		n.rig.Rec.Printf("client at %s: %s GET %s: status %d, %d of %d bytes of the body (%v) after %v", n.IP, id, path, a.Status, got, announced, a.Err, a.End-a.Sent)
	}()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowClientBuffer)
		})
	}}
	c, err := d.Dial("tcp4", n.CallerAddr())
	if err != nil {
		a.Err = err
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(budget))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n\r\n", path, id, budget.Milliseconds())
	if err != nil {
		a.Err = err
		return
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, slowClientBuffer), nil)
	if err != nil {
		a.Err = err
		return
	}
	status := resp.StatusCode
	a.Signature, announced = resp.Header.Get("X-Server-Signature"), int(resp.ContentLength)
	n.rig.Rec.Printf("client at %s: %s has the head of the answer, status %d, length %d", n.IP, id, status, announced)
	const steps = 50 // in a second
	part := make([]byte, rate/steps)
	for start := time.Now(); ; {
		m, err := io.ReadFull(resp.Body, part)
		got += m
		if err == io.EOF || err == io.ErrUnexpectedEOF && got == announced {
			a.Status = status
			return
		}
		if err != nil {
			a.Err = err
			return
		}
		time.Sleep(time.Duration(float64(got)/float64(rate)*float64(time.Second)) - time.Since(start))
	}
}

// slowClientBuffer is the receive buffer of a slow client, in bytes.
const slowClientBuffer = 32 << 10
