package shardserver

import (
	"fmt"
	"net/http"
)

// HoldUpHeartbeat takes a heartbeat of the server as of now. It arrives at the daemon when
// the result is called; the server has given up on its answer by then.
func (s *Server) HoldUpHeartbeat() (deliver func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := s.nextHeartbeat()
	return func() error {
		var ignored any
		return s.putHeartbeat(s.cfg.ID, body, &ignored)
	}
}

// AwaitSilence stops the heartbeats and waits for the end of the one under way.
func (s *Server) AwaitSilence() {
	s.sending.Lock()
	defer s.sending.Unlock()
	s.StopHeartbeats()
}

// SendWithoutLists sends a heartbeat under the server's name that another writer made: it says
// that the server drains, and lacks the lists of keys. ahead is by how much its sequence is
// greater than the server's last.
func (s *Server) SendWithoutLists(ahead int) error {
	s.mu.Lock()
	sequence := s.sequence + ahead
	s.mu.Unlock()
	return s.SendForeign(s.cfg.ID, map[string]any{"sequence": sequence, "state": "draining", "holds": nil, "freed": nil})
}

// SendForeign sends a heartbeat under an id that another writer made: it is the server's next
// one with some fields replaced. A nil value leaves a field out.
func (s *Server) SendForeign(id string, changes map[string]any) error {
	s.mu.Lock()
	body := s.nextHeartbeat()
	s.sequence--
	s.mu.Unlock()
	for field, value := range changes {
		if body[field] = value; value == nil {
			delete(body, field)
		}
	}
	var ignored any
	return s.putHeartbeat(id, body, &ignored)
}

// Leave announces that the server will stop, and ends its heartbeats. The server serves on.
func (s *Server) Leave() error {
	s.StopHeartbeats()
	req, err := http.NewRequest(http.MethodDelete, "http://"+s.cfg.ControlAddr+"/burdockfold/instances/"+s.cfg.ID, nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("leave: status %d", resp.StatusCode)
	}
	return nil
}
