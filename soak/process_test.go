package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	// programPath is the path of the celerypoint program, which TestMain builds
	// once.
	programPath string
	// processSpawner starts the program's processes.
	processSpawner *spawner
)

func TestMain(m *testing.M) {
	if os.Getenv(spawnerEnv) != "" {
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
	programPath = filepath.Join(dir, "celerypoint")
	build := exec.Command("go", "build", "-o", programPath, "../cmd/celerypoint")
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("%v: %w\n%s", build.Args, err, out)
	}
	if processSpawner, err = startSpawner(); err != nil {
		return 1, err
	}
	defer processSpawner.close()
	return m.Run(), nil
}

const (
	// stopGrace is the time from SIGTERM to SIGKILL. It is also written to the
	// settings of the processes, as stopSeconds.
	stopGrace = 6 * time.Second
	// restartPause is the time from the end of a process to its restart.
	restartPause = 300 * time.Millisecond
)

// process is an entry or an agent under test. It is started again whenever its
// operating system process has ended, until it is retired.
type process struct {
	name string
	role string
	// settingsPath is the path of its settings file, logPath that of its output.
	settingsPath, logPath string
	// memoryMB bounds its peak resident memory, in MiB.
	memoryMB int

	mu      sync.Mutex
	spawned *spawnedProcess
	// endExpected reports whether the test has asked the process to end since its
	// last start, and retired whether it is not started again.
	endExpected, retired bool
	// endedAt lists the times at which its processes ended.
	endedAt []time.Time
	fail    func(format string, args ...any)
}

// start starts the process. The caller holds p.mu.
func (p *process) start() error {
	spawned, err := processSpawner.start(p.logPath, programPath, "site", p.role, "--settings", p.settingsPath)
	if err != nil {
		return err
	}
	p.spawned, p.endExpected = spawned, false
	go p.await(spawned)
	return nil
}

// await waits for the process to end and then starts it again, unless it is
// retired. It reports a violation if the test did not ask for the end.
func (p *process) await(spawned *spawnedProcess) {
	<-spawned.exited
	p.mu.Lock()
	endExpected := p.endExpected
	p.endedAt = append(p.endedAt, time.Now())
	p.mu.Unlock()
	if !endExpected {
		p.fail("%s ended unexpectedly: %v", p.name, spawned.err)
	}
	time.Sleep(restartPause)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return
	}
	if err := p.start(); err != nil {
		p.fail("%s did not start: %v", p.name, err)
	}
}

// signal sends a signal to the process, if it has not ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endExpected = p.endExpected || s == syscall.SIGKILL || s == syscall.SIGTERM
	select {
	case <-p.spawned.exited:
		// The PID may belong to another process by now.
		return
	default:
	}
	if err := syscall.Kill(p.spawned.pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
		p.fail("%s: %s: %v", p.name, s, err)
	}
}

// stop stops the process gracefully, and kills it if it takes longer than
// stopGrace.
func (p *process) stop() {
	p.mu.Lock()
	spawned := p.spawned
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-spawned.exited:
	case <-time.After(stopGrace):
		p.signal(syscall.SIGKILL)
	}
}

// endedBetween reports whether a process of p ended in that time.
func (p *process) endedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.endedAt, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}

// retire kills the process, waits for its end and does not start it again.
func (p *process) retire() {
	p.mu.Lock()
	p.retired = true
	spawned := p.spawned
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-spawned.exited
}

// checkMemory checks that the peak resident memory since the last start of the
// process is within memoryMB.
func (p *process) checkMemory() {
	p.mu.Lock()
	pid := p.spawned.pid
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
			p.fail("%s: found %d MiB of peak resident memory, allowed: %d", p.name, kb>>10, p.memoryMB)
		}
	}
}
