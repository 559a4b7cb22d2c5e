package shardserver

import (
	"io"
	"time"
)

// slowPart is how many bytes of a request the server reads at a time while it is slow.
const slowPart = 16 << 10

// SetReadPause makes the server pause after each part of a request's body that it reads; zero
// ends that.
func (s *Server) SetReadPause(d time.Duration) { s.update(func() { s.readPause = d }) }

// readBody reads the body of a request, at the pace that was set.
func (s *Server) readBody(r io.Reader) ([]byte, error) {
	var pause time.Duration
	s.update(func() { pause = s.readPause })
	if pause == 0 {
		return io.ReadAll(r)
	}
	part := make([]byte, slowPart)
	for {
		if _, err := io.ReadFull(r, part); err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil, nil // the body itself is of no use
		} else if err != nil {
			return nil, err
		}
		time.Sleep(pause)
	}
}
