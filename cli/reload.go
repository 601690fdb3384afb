package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the interval at which the modification time of the settings
// file is read, to detect a change that is not followed by a signal.
const pollInterval = 2 * time.Second

// watchSettings calls reload after each SIGHUP and after each change of the
// file's modification time, until ctx ends. An empty path stands for no file, so
// that only the signal triggers a reload.
func watchSettings(ctx context.Context, path string, reload func(cause string)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	seen := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			seen = modTime(path)
			reload("signal")
		case <-ticker.C:
			if now := modTime(path); !now.Equal(seen) {
				seen = now
				reload("fileChanged")
			}
		}
	}
}

// modTime returns the modification time of the file, or zero if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
