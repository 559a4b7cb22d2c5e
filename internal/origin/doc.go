// Package origin sends requests to the backend server beside the daemon over
// HTTP/1.1. It takes a request in the form of package hop and returns an answer in
// that form, or a failure whose truth says whether the request may have run. It
// accepts only complete answers to the request that was sent: it skips late answers
// to earlier requests and rejects incomplete or unsigned ones. A request is sent again,
// once, only if no byte of it had been sent.
package origin
