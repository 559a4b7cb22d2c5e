// Package sidecar is the daemon beside a backend server on a platform that keeps
// no list of hosts: daemons find one another through a keyed stream of the log
// service, backend servers announce themselves by heartbeats, and the owners of
// shard keys stand in another stream. It joins the duties; the decisions are in
// internal/core.
package sidecar
