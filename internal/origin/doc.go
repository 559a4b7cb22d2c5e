// Package origin hands requests to the backend server beside the daemon over
// HTTP/1.1 and tells whole answers from broken, late and foreign ones.
package origin
