// Package httpconn holds keep-alive HTTP/1.1 connections to a backend server and
// transfers message bodies over them.
//
// A Pool dials connections to one address, bounds how many are in use at once and
// reuses idle ones. WriteBody sends a request body, and NewBodyReader reads a
// response body; neither reports a truncated body as complete. CheckHeader rejects
// requests whose header lines two HTTP parsers might interpret differently.
package httpconn
