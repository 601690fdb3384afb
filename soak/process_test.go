package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	// program is the celerypoint program, which TestMain builds once.
	program string
	// programs starts it.
	programs *spawner
)

func TestMain(m *testing.M) {
	if os.Getenv(spawnerVariable) != "" {
		os.Exit(serveSpawner())
	}
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "celerypoint-soak")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "celerypoint")
	build := exec.Command("go", "build", "-o", program, "../cmd/celerypoint")
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("%v: %w\n%s", build.Args, err, out)
	}
	if programs, err = startSpawner(); err != nil {
		return 1, err
	}
	defer programs.close()
	return m.Run(), nil
}

const (
	// stopGrace is the time from SIGTERM to SIGKILL, as in the settings.
	stopGrace = 6 * time.Second
	// restartPause is how long after its end a process starts again.
	restartPause = 300 * time.Millisecond
)

// process is one of the system's processes, which is started again whenever it
// has ended.
type process struct {
	name string
	role string
	// settings is the path of its settings file, log that of its output.
	settings, log string
	// memoryMB bounds its peak.
	memoryMB int

	mu  sync.Mutex
	run *spawned
	// wanted says that the end of the process was ordered, and retired that it
	// is not started again.
	wanted, retired bool
	broken          func(format string, args ...any)
}

// start starts the process. The caller holds the mutex.
func (p *process) start() error {
	run, err := programs.start(p.log, program, "site", p.role, "--settings", p.settings)
	if err != nil {
		return err
	}
	p.run, p.wanted = run, false
	go p.await(run)
	return nil
}

// await starts the process again once it has ended.
func (p *process) await(run *spawned) {
	<-run.exited
	p.mu.Lock()
	wanted := p.wanted
	p.mu.Unlock()
	if !wanted {
		p.broken("%s ended by itself: %v", p.name, run.err)
	}
	time.Sleep(restartPause)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return
	}
	if err := p.start(); err != nil {
		p.broken("%s did not start: %v", p.name, err)
	}
}

// signal sends a signal to the process by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = p.wanted || s == syscall.SIGKILL || s == syscall.SIGTERM
	select {
	case <-p.run.exited:
		// Its number may belong to another process by now.
		return
	default:
	}
	if err := syscall.Kill(p.run.pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
		p.broken("%s: %s: %v", p.name, s, err)
	}
}

// stop ends the process gracefully; one that takes longer than the grace is
// killed.
func (p *process) stop() {
	p.mu.Lock()
	run := p.run
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-run.exited:
	case <-time.After(stopGrace):
		p.signal(syscall.SIGKILL)
	}
}

// retire ends the process for good.
func (p *process) retire() {
	p.mu.Lock()
	p.retired = true
	run := p.run
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-run.exited
}

// checkMemory compares the peak with the bound.
func (p *process) checkMemory() {
	p.mu.Lock()
	pid := p.run.pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		// The process has just ended.
		return
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "VmHWM:" {
			continue
		}
		if kb, err := strconv.Atoi(words[1]); err == nil && kb>>10 > p.memoryMB {
			p.broken("%s takes %d MiB, allowed: %d", p.name, kb>>10, p.memoryMB)
		}
	}
}
