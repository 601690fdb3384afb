package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// spawner is a helper process that starts the programs. The process with the stand-ins does not
// start them itself, because a program would inherit descriptors of their connections, and
// these would then stay open when the stand-ins close them.
type spawner struct {
	cmd   *exec.Cmd
	input io.WriteCloser
	// starting is held while a program is started.
	starting sync.Mutex
	mu       sync.Mutex
	started  chan spawnEvent
	exited   map[int]chan struct{}
	errs     map[int]string
}

type spawnRequest struct {
	Dir, Log string
	Args     []string
}

type spawnEvent struct {
	PID   int
	Ended bool
	Error string
}

const spawnArgument = "spawn"

func startSpawner() (*spawner, error) {
	cmd := exec.Command(os.Args[0], spawnArgument)
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
	s := &spawner{cmd: cmd, input: input, started: make(chan spawnEvent), exited: map[int]chan struct{}{}, errs: map[int]string{}}
	go s.read(output)
	return s, nil
}

func (s *spawner) read(output io.Reader) {
	for decoder := json.NewDecoder(output); ; {
		var e spawnEvent
		if decoder.Decode(&e) != nil {
			close(s.started)
			return
		}
		if !e.Ended {
			s.mu.Lock()
			s.exited[e.PID] = make(chan struct{})
			s.mu.Unlock()
			s.started <- e
			continue
		}
		s.mu.Lock()
		s.errs[e.PID] = e.Error
		close(s.exited[e.PID])
		s.mu.Unlock()
	}
}

// start starts a program, whose output is appended to the log.
func (s *spawner) start(r spawnRequest) (pid int, exited <-chan struct{}, err error) {
	s.starting.Lock()
	defer s.starting.Unlock()
	line, err := json.Marshal(r)
	if err != nil {
		return 0, nil, err
	}
	if _, err := s.input.Write(append(line, '\n')); err != nil {
		return 0, nil, err
	}
	e, ok := <-s.started
	switch {
	case !ok:
		return 0, nil, errors.New("the spawner has ended")
	case e.PID == 0:
		return 0, nil, errors.New(e.Error)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.PID, s.exited[e.PID], nil
}

// exitError tells how a program has ended.
func (s *spawner) exitError(pid int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errs[pid]
}

// close ends the spawner, which kills the programs that still run.
func (s *spawner) close() {
	_ = s.input.Close()
	_ = s.cmd.Wait()
}

// serveSpawner is the main function of the helper process.
func serveSpawner() int {
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	send := func(e spawnEvent) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(e)
	}
	var running sync.Map
	var ended sync.WaitGroup
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		var r spawnRequest
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			send(spawnEvent{Error: err.Error()})
			continue
		}
		cmd, err := r.run()
		if err != nil {
			send(spawnEvent{Error: err.Error()})
			continue
		}
		pid := cmd.Process.Pid
		running.Store(pid, cmd)
		send(spawnEvent{PID: pid})
		ended.Go(func() {
			text := "status 0"
			if err := cmd.Wait(); err != nil {
				text = err.Error()
			}
			running.Delete(pid)
			send(spawnEvent{PID: pid, Ended: true, Error: text})
		})
	}
	running.Range(func(_, cmd any) bool {
		p := cmd.(*exec.Cmd).Process
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
		return true
	})
	ended.Wait()
	return 0
}

func (r spawnRequest) run() (*exec.Cmd, error) {
	out, err := os.OpenFile(r.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	if len(r.Args) == 0 {
		return nil, fmt.Errorf("no program")
	}
	cmd := exec.Command(r.Args[0], r.Args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.Dir, out, out
	return cmd, cmd.Start()
}
