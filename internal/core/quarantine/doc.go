// Package quarantine finds requests that end the backend servers that run them ("queries of
// death") and decides which requests may still run. Runs tracks what a server is working on,
// so that the daemon beside it knows which requests were in progress when it ended. Ledger
// adds up what all daemons know of a request. The package performs no I/O: callers pass instants in.
package quarantine
