// Package succession decides which instance of a backend server the daemon beside it believes
// in. Its input is what heartbeats state, in the order of their arrival, and that the server was
// found lost; its output is whether a heartbeat counts, and whether it brings another instance
// into use. It performs no I/O: callers pass instants in.
//
// No message proves by itself that the instance in use has ended: it may be late, or from
// another writer. Each decision can therefore be taken back:
//
//   - An instance of a later start is in use from its first heartbeat on, as a server that
//     replaces another needs it.
//   - Any other one is in use once the one before it is lost and its own heartbeats go on: at
//     least two, in order, as far apart as heartbeats are. A heartbeat that was held up comes
//     alone, or beside those of its successor.
package succession
