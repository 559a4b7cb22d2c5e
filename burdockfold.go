// Package burdockfold is the Go API of a request router for backend servers
// that own keys exclusively. NewDaemon embeds a router daemon in another
// program. NewClient returns a caller's client, which sends each request to a
// daemon, follows ownership hints in the answers and retries only requests that
// did not run or may be repeated. Every outcome states what is known about the
// execution of the request (Truth).
package burdockfold

import (
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/daemon"
	"github.com/burdockfold/burdockfold/internal/settings"
)

// Version is the version of this build.
const Version = "0.1.0"

// Settings holds the settings of a daemon. LoadSettings reads them.
type Settings = settings.Settings

// Daemon is a router daemon that runs inside another program. Its Run method
// serves until the context ends and then drains.
type Daemon = daemon.Daemon

// ErrRemoved is returned by Daemon.Run when the log records this member as no
// longer present. To rejoin, start a new daemon: it joins with a later
// incarnation.
var ErrRemoved = daemon.ErrRemoved

// LoadSettings reads the settings of a daemon from, in increasing order of
// precedence, the defaults, the YAML file named by the -settings argument, the
// environment variables and the flags in args.
func LoadSettings(args []string) (Settings, error) { return settings.Load(args) }

// NewDaemon returns a daemon with the settings s and opens its ports. The daemon
// serves once Run is called.
func NewDaemon(s Settings, log *zap.Logger) (*Daemon, error) {
	return daemon.New(s, daemon.Options{Logger: log, Version: Version})
}
