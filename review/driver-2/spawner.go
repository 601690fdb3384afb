package main

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

// spawner is a helper process without sockets that starts the programs under test. nbio, which
// the stand-ins use, duplicates descriptors without the close-on-exec flag, and a socket that a
// program inherits would stay open after the driver has closed it.
type spawner struct {
	mu       sync.Mutex
	input    io.WriteCloser
	encoder  *json.Encoder
	nextID   int
	programs map[int]*program
	done     chan struct{}
}

// program is one process of a program under test.
type program struct {
	pid     int
	started chan error
	exited  chan struct{}
}

type spawnRequest struct {
	ID   int
	Args []string
	Log  string
}

type spawnEvent struct {
	ID, PID int
	Ended   bool
	Error   string
}

// spawnerEnv makes the driver run as the helper process.
const spawnerEnv = "REVIEW_DRIVER_SPAWNER"

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
	s := &spawner{input: input, encoder: json.NewEncoder(input), programs: map[int]*program{}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for decoder := json.NewDecoder(output); ; {
			var e spawnEvent
			if decoder.Decode(&e) != nil {
				break
			}
			s.mu.Lock()
			p := s.programs[e.ID]
			s.mu.Unlock()
			switch {
			case e.Ended:
				close(p.exited)
			case e.Error != "":
				p.started <- errors.New(e.Error)
			default:
				p.pid = e.PID
				p.started <- nil
			}
		}
		_ = cmd.Wait()
	}()
	return s, nil
}

func (s *spawner) start(log string, args ...string) (*program, error) {
	p := &program{started: make(chan error, 1), exited: make(chan struct{})}
	s.mu.Lock()
	s.nextID++
	s.programs[s.nextID] = p
	err := s.encoder.Encode(spawnRequest{s.nextID, args, log})
	s.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("spawner: %w", err)
	}
	return p, <-p.started
}

// close ends the helper process, which kills the programs that still run.
func (s *spawner) close() {
	_ = s.input.Close()
	<-s.done
}

// signal sends a signal unless the process has ended.
func (p *program) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = syscall.Kill(p.pid, s)
	}
}

// serveSpawner is the main function of the helper process.
func serveSpawner() {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGTERM, os.Interrupt)
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	send := func(e spawnEvent) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(e)
	}
	running := map[int]*exec.Cmd{}
	var ended sync.WaitGroup
	for decoder := json.NewDecoder(os.Stdin); ; {
		var r spawnRequest
		if decoder.Decode(&r) != nil {
			mu.Lock()
			for _, cmd := range running {
				_ = cmd.Process.Kill()
			}
			mu.Unlock()
			ended.Wait()
			return
		}
		out, err := os.OpenFile(r.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			send(spawnEvent{ID: r.ID, Error: err.Error()})
			continue
		}
		cmd := exec.Command(r.Args[0], r.Args[1:]...)
		cmd.Stdout, cmd.Stderr = out, out
		err = cmd.Start()
		_ = out.Close()
		if err != nil {
			send(spawnEvent{ID: r.ID, Error: err.Error()})
			continue
		}
		mu.Lock()
		running[r.ID] = cmd
		mu.Unlock()
		send(spawnEvent{ID: r.ID, PID: cmd.Process.Pid})
		ended.Go(func() {
			_ = cmd.Wait()
			mu.Lock()
			delete(running, r.ID)
			mu.Unlock()
			send(spawnEvent{ID: r.ID, Ended: true})
		})
	}
}
