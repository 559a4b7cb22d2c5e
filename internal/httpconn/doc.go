// Package httpconn holds keep-alive HTTP/1.1 connections to a backend server and
// transfers message bodies over them.
//
// A Pool dials connections to one address, bounds how many are in use at once and
// reuses idle ones. WriteBody sends a request body, ReadHead reads the head of the
// answer and NewBodyReader its body; none reports a truncated message as complete.
//
// CheckHeader rejects requests, and CheckHead answers, whose header lines two HTTP
// parsers might interpret differently. AnswerConn applies CheckHead below HTTP clients
// of the library.
package httpconn
