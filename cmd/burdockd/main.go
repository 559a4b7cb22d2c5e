// Command burdockd is the router's daemon: one beside each backend server. With
// the argument sidecar it runs on a platform that keeps a store and no list of
// hosts.
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

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

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

// serve runs daemons until ctx ends. A member that was removed from the log
// while it was away is followed by one with a later incarnation.
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
