package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// spawner is a helper process that starts the programs under test. The test
// process does not start them itself because of its sockets: nbio duplicates
// descriptors without the close-on-exec flag, and a socket that a program
// inherits stays open when the test process closes it. The helper process has
// no sockets.
type spawner struct {
	mu         sync.Mutex
	input      io.WriteCloser
	encoder    *json.Encoder
	nextID     int
	processes  map[int]*spawnedProcess
	readerDone chan struct{}
}

// spawnedProcess is a program that the spawner has started.
type spawnedProcess struct {
	pid     int
	started chan error
	// exited is closed when the program has ended; err is then its result.
	exited chan struct{}
	err    error
}

type (
	spawnRequest struct {
		ID   int
		Args []string
		Log  string
	}
	// spawnEvent reports that a program was started or could not be, and later
	// its end.
	spawnEvent struct {
		ID, PID int
		Ended   bool
		Error   string
	}
)

// spawnerEnv is the environment variable that makes the test program run as the
// spawner.
const spawnerEnv = "CELERYPOINT_SOAK_SPAWNER"

// startSpawner starts the helper process, which kills its programs when the
// test process ends.
func startSpawner() (*spawner, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), spawnerEnv+"=1")
	cmd.Stderr = os.Stderr
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s := &spawner{input: input, encoder: json.NewEncoder(input), processes: map[int]*spawnedProcess{}, readerDone: make(chan struct{})}
	go func() {
		defer close(s.readerDone)
		s.read(output)
		_ = cmd.Wait()
	}()
	return s, nil
}

func (s *spawner) read(output io.Reader) {
	for decoder := json.NewDecoder(output); ; {
		var event spawnEvent
		if err := decoder.Decode(&event); err != nil {
			return
		}
		s.mu.Lock()
		process := s.processes[event.ID]
		s.mu.Unlock()
		var err error
		if event.Error != "" {
			err = errors.New(event.Error)
		}
		if event.Ended {
			process.err = err
			close(process.exited)
			continue
		}
		process.pid = event.PID
		process.started <- err
	}
}

// start starts a program and appends its output to a file.
func (s *spawner) start(log string, args ...string) (*spawnedProcess, error) {
	process := &spawnedProcess{started: make(chan error, 1), exited: make(chan struct{})}
	s.mu.Lock()
	s.nextID++
	s.processes[s.nextID] = process
	err := s.encoder.Encode(spawnRequest{s.nextID, args, log})
	s.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("spawner: %w", err)
	}
	return process, <-process.started
}

// close ends the spawner, which kills the programs that still run.
func (s *spawner) close() {
	_ = s.input.Close()
	<-s.readerDone
}

// serveSpawner is the main function of the helper process.
func serveSpawner() int {
	// If the test process has ended, writing an event to it must not end this
	// process with SIGPIPE, because the programs that still run must be killed.
	signal.Ignore(syscall.SIGPIPE)
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	send := func(n spawnEvent) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(n)
	}
	var running sync.Map
	for decoder := json.NewDecoder(os.Stdin); ; {
		var r spawnRequest
		if err := decoder.Decode(&r); err != nil {
			running.Range(func(_, cmd any) bool {
				_ = cmd.(*exec.Cmd).Process.Kill()
				return true
			})
			return 0
		}
		cmd, err := spawn(r)
		if err != nil {
			send(spawnEvent{ID: r.ID, Error: err.Error()})
			continue
		}
		running.Store(r.ID, cmd)
		send(spawnEvent{ID: r.ID, PID: cmd.Process.Pid})
		go func() {
			text := ""
			if err := cmd.Wait(); err != nil {
				text = err.Error()
			}
			running.Delete(r.ID)
			send(spawnEvent{ID: r.ID, Ended: true, Error: text})
		}()
	}
}

func spawn(r spawnRequest) (*exec.Cmd, error) {
	out, err := os.OpenFile(r.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(r.Args[0], r.Args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, cmd.Start()
}
