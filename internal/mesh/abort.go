package mesh

// Abort cuts the stream while Respond is sending: the peer sees that the answer is incomplete.
func (ss *serverStream) Abort() { ss.fail(ErrClosed) }
