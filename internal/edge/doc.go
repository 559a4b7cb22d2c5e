// Package edge is the port for callers on a host that runs a daemon beside a
// backend server: it finds the route of each request, sends it to the daemon
// beside a backend server that may run it, and answers.
package edge
