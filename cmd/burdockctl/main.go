// Command burdockctl is the command line of operators and planners.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/burdockfold/burdockfold/internal/ctl"
	"github.com/burdockfold/burdockfold/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := ctl.OSEnv()
	env.InspectConfig = platform.InspectConfig
	code := ctl.Run(ctx, os.Args[1:], env)
	stop()
	os.Exit(int(code))
}
