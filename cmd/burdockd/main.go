// Command burdockd is the router's daemon, which runs beside each backend server.
//
// "burdockd" runs the stand-alone daemon with the settings of a file, environment
// variables and flags. "burdockd sidecar" runs the daemon of a platform deployment,
// which discovers the other daemons through the platform's store. Both print the
// problems of invalid settings and exit with status 2, and drain after SIGTERM or an
// interrupt.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold"
	"github.com/burdockfold/burdockfold/internal/daemon"
	"github.com/burdockfold/burdockfold/internal/settings"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command with its arguments and returns the exit status.
func run(args []string) int {
	if len(args) > 0 && args[0] == "sidecar" {
		return runSidecar(args[1:])
	}
	s, err := settings.Load(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if s.CheckOnly {
		fmt.Println("settings are valid")
		return exitOK
	}
	log, err := telemetry.NewLogger(os.Stderr, s.Telemetry.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, s, log); err != nil {
		log.Error("daemon_failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// serve runs a daemon until ctx ends. If the daemon was removed from the membership
// log while it was unreachable, serve replaces it by one with a later incarnation.
func serve(ctx context.Context, s settings.Settings, log *zap.Logger) error {
	for {
		d, err := daemon.New(s, daemon.Options{Logger: log, Version: burdockfold.Version})
		if err != nil {
			return err
		}
		err = d.Run(ctx)
		if !errors.Is(err, daemon.ErrRemoved) || ctx.Err() != nil {
			return err
		}
		log.Warn("daemon_rejoins", zap.Error(err))
	}
}
