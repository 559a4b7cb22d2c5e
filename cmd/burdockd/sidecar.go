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

// settingsPoll is the time between two looks whether the settings file changed.
const settingsPoll = time.Second

// gcPercent makes the collector run often: the heap is small, and memory on these
// hosts is dearer than the processor time that this takes.
const gcPercent = 40

// runSidecar runs the daemon of a platform deployment.
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

// watchSettings applies changes of the settings file, after SIGHUP or without a
// signal. Faulty settings leave the former ones in force.
func watchSettings(ctx context.Context, file string, d *sidecar.Daemon, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if now := modified(file); now == last {
				continue
			}
		}
		last = modified(file)
		cfg, err := settings.LoadSidecar(file)
		if err != nil {
			log.Warn("settings_refused", zap.Error(err))
			continue
		}
		d.SetService(cfg.Service)
	}
}

// modified returns the time of the file's last change, zero if it is not there.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
