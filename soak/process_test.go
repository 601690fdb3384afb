package soak

import (
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

// program is the celerypoint program, which TestMain builds once.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "celerypoint-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "celerypoint")
	build := exec.Command("go", "build", "-o", program, "../cmd/celerypoint")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v: %v\n%s", build.Args, err, out)
		return 1
	}
	return m.Run()
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

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// wanted says that the end of the process was ordered, and retired that it
	// is not started again.
	wanted, retired bool
	broken          func(format string, args ...any)
}

// start starts the process. The caller holds the mutex.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, "site", p.role, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	closeOnExec()
	if err := p.cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p.exited, p.wanted = make(chan struct{}), false
	go p.await(p.cmd, p.exited, out)
	return nil
}

// closeOnExec keeps the sockets of this process from the programs that it
// starts. nbio duplicates the descriptors of its connections without the flag;
// one that a program inherits stays open when this side closes it.
func closeOnExec() {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return
	}
	for _, entry := range all {
		if fd, err := strconv.Atoi(entry.Name()); err == nil && fd > 2 {
			syscall.CloseOnExec(fd)
		}
	}
}

// await starts the process again once it has ended.
func (p *process) await(cmd *exec.Cmd, exited chan struct{}, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	close(exited)
	p.mu.Lock()
	wanted := p.wanted
	p.mu.Unlock()
	if !wanted {
		p.broken("%s ended by itself: %v", p.name, err)
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
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process gracefully; one that takes longer than the grace is
// killed.
func (p *process) stop() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		p.signal(syscall.SIGKILL)
	}
}

// retire ends the process for good.
func (p *process) retire() {
	p.mu.Lock()
	p.retired = true
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-exited
}

// checkMemory compares the peak with the bound.
func (p *process) checkMemory() {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
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
