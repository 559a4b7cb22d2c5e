package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/settings"
	"github.com/burdockfold/burdockfold/internal/sidecar"
	"github.com/burdockfold/burdockfold/internal/telemetry"
	"github.com/burdockfold/burdockfold/platform"
)

// settingsPoll is the interval at which the settings file is checked for changes.
const settingsPoll = time.Second

// gcPercent makes the garbage collector run often. The heap is small, and on these
// hosts memory is scarcer than the processor time that the collector takes.
const gcPercent = 40

// runSidecar runs the daemon of a platform deployment and returns the exit status.
func runSidecar(args []string) int {
	fs := flag.NewFlagSet("burdockd sidecar", flag.ContinueOnError)
	file := fs.String("settings", "", "path of the YAML settings file")
	check := fs.Bool("check-settings", false, "check the settings, print every problem and exit")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	cfg, err := settings.LoadSidecar(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	log, err := telemetry.NewLogger(out, cfg.Telemetry.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if err := serveSidecar(*file, cfg, log); err != nil {
		log.Error("daemon_failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// serveSidecar runs the daemon until SIGTERM or an interrupt and until it has
// drained.
func serveSidecar(file string, cfg settings.Sidecar, log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := sidecar.New(cfg, platform.NewAdapter(cfg.Store.Addr), log)
	if err != nil {
		return err
	}
	go watchSettings(ctx, file, d, log)
	return d.Run(ctx)
}

// watchSettings reloads the settings file on SIGHUP and when its modification time
// changes, until ctx ends. Only a change of the service takes effect. Invalid
// settings are logged and leave the previous ones in force.
func watchSettings(ctx context.Context, file string, d *sidecar.Daemon, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if now := modTime(file); now == last {
				continue
			}
		}
		last = modTime(file)
		cfg, err := settings.LoadSidecar(file)
		if err != nil {
			log.Warn("settings_refused", zap.Error(err))
			continue
		}
		d.SetService(cfg.Service)
	}
}

// modTime returns the file's modification time, or the zero time if the file cannot
// be examined.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
