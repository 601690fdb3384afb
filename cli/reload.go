package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchEvery is how often the settings file is looked at, which may change
// without a signal.
const watchEvery = 2 * time.Second

// watchSettings calls reload at each SIGHUP, and when the file has changed,
// until ctx ends. Without a file only the signal counts.
func watchSettings(ctx context.Context, path string, reload func(cause string)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			seen = modified(path)
			reload("signal")
		case <-ticker.C:
			if now := modified(path); !now.Equal(seen) {
				seen = now
				reload("fileChanged")
			}
		}
	}
}

// modified is when the file was last changed, zero when it cannot be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
