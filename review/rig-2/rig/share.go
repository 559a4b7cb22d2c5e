package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	shareStep  = 5 * time.Millisecond   // between two looks at the processor time
	shareBurst = 100 * time.Millisecond // time whose allowance may be used at once
	tick       = 10 * time.Millisecond  // unit of /proc/PID/stat
)

// Limit gives the daemon a share of one core, as the platform does: it runs at full speed until its
// allowance is used up, and then not at all until it has one again.
func (h *Host) Limit(share float64) {
	cmd, done := h.cmd, h.done
	go func() {
		allowed, last, used := 0.0, time.Now(), processorTime(cmd.Process.Pid)
		stopped := false
		for {
			select {
			case <-done:
				return
			case <-time.After(shareStep):
			}
			now, total := time.Now(), processorTime(cmd.Process.Pid)
			allowed = min(allowed+share*now.Sub(last).Seconds()-(total-used).Seconds(), share*shareBurst.Seconds())
			last, used = now, total
			if stop := allowed < 0; stop != stopped {
				stopped = stop
				signal := syscall.SIGCONT
				if stop {
					signal = syscall.SIGSTOP
				}
				_ = cmd.Process.Signal(signal)
			}
		}
	}()
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * tick
}
