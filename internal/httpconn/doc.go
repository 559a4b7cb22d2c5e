// Package httpconn keeps HTTP/1.1 connections to backend servers and reads bodies
// from them so that a cut body never looks whole.
package httpconn
