// Package edge implements the HTTP port for callers on a host that runs a daemon
// beside a backend server. Server accepts and validates requests and finds their
// routes; Dispatcher sends each request to the daemon beside a backend server that
// may run it, and repeats failed attempts within the limits of the route and of the
// repeat budget that all daemons share. Every request gets an answer, and an answer
// with a status that promises that the request has not run is sent only if that is
// certain.
package edge
