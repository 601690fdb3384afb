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

// spawner is a process that starts the programs under test. It has no sockets:
// nbio duplicates descriptors without the close-on-exec flag, and one that a
// program inherits from this process stays open when this side closes it.
type spawner struct {
	mu      sync.Mutex
	input   io.WriteCloser
	encoder *json.Encoder
	next    int
	calls   map[int]*spawned
	done    chan struct{}
}

// spawned is one started program.
type spawned struct {
	pid     int
	started chan error
	// exited is closed at the program's end; err is its result by then.
	exited chan struct{}
	err    error
}

type (
	spawnRequest struct {
		ID   int
		Args []string
		Log  string
	}
	// spawnNews tells of a start, and later of the end.
	spawnNews struct {
		ID, PID int
		Ended   bool
		Error   string
	}
)

// spawnerVariable makes the test program serve as the spawner.
const spawnerVariable = "CELERYPOINT_SOAK_SPAWNER"

// startSpawner starts the process; it ends its programs when this one ends.
func startSpawner() (*spawner, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), spawnerVariable+"=1")
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
	s := &spawner{input: input, encoder: json.NewEncoder(input), calls: map[int]*spawned{}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.read(output)
		_ = cmd.Wait()
	}()
	return s, nil
}

func (s *spawner) read(output io.Reader) {
	for decoder := json.NewDecoder(output); ; {
		var news spawnNews
		if err := decoder.Decode(&news); err != nil {
			return
		}
		s.mu.Lock()
		call := s.calls[news.ID]
		s.mu.Unlock()
		var err error
		if news.Error != "" {
			err = errors.New(news.Error)
		}
		if news.Ended {
			call.err = err
			close(call.exited)
			continue
		}
		call.pid = news.PID
		call.started <- err
	}
}

// start starts a program with its output going to a file.
func (s *spawner) start(log string, args ...string) (*spawned, error) {
	call := &spawned{started: make(chan error, 1), exited: make(chan struct{})}
	s.mu.Lock()
	s.next++
	s.calls[s.next] = call
	err := s.encoder.Encode(spawnRequest{s.next, args, log})
	s.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("spawner: %w", err)
	}
	return call, <-call.started
}

// close ends the spawner, and with it what still runs.
func (s *spawner) close() {
	_ = s.input.Close()
	<-s.done
}

// serveSpawner is the spawner's own main function.
func serveSpawner() int {
	// The test program may be gone when an end is told; what still runs has to
	// be ended all the same.
	signal.Ignore(syscall.SIGPIPE)
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	tell := func(n spawnNews) {
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
			tell(spawnNews{ID: r.ID, Error: err.Error()})
			continue
		}
		running.Store(r.ID, cmd)
		tell(spawnNews{ID: r.ID, PID: cmd.Process.Pid})
		go func() {
			text := ""
			if err := cmd.Wait(); err != nil {
				text = err.Error()
			}
			running.Delete(r.ID)
			tell(spawnNews{ID: r.ID, Ended: true, Error: text})
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
