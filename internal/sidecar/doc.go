// Package sidecar implements the daemon beside a backend server, on platforms that
// provide no list of hosts. Requests come in from callers on the host and from other
// daemons; they leave for the backend server beside the daemon or for the daemon beside
// another server. Daemons discover one another through a keyed stream of the log
// service, backend servers announce themselves by heartbeats, and another keyed stream
// holds the ownership tables of shard keys. A daemon passes a request for a key to its
// server only while that server may hold the key. This package connects the duties and
// does their I/O; the decisions are made in internal/core.
package sidecar
