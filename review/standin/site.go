package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Site is a small deployment on loopback addresses: the project's own programs as
// processes, and stand-ins for everything around them.
type Site struct {
	Log     *Record
	Store   *Store
	Workers []*Worker
	Entries []*Process
	agents  []*Process
	dir     string
	program string
	lives   int
}

// Process is one process of the project's program.
type Process struct {
	name, role string
	site       *Site
	command    *exec.Cmd
	ended      chan struct{}
	// Client and Ready are the addresses that an entry serves.
	Client, Ready string
	settings      string
}

// NewSite starts the store. program is the path of the project's program.
func NewSite(log *Record, program string) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := NewStore(log)
	if err != nil {
		return nil, err
	}
	return &Site{Log: log, Store: store, dir: dir, program: program}, nil
}

// Close ends all processes and stand-ins.
func (s *Site) Close() {
	for _, p := range append(append([]*Process{}, s.Entries...), s.agents...) {
		if p != nil && p.command != nil {
			p.Kill()
		}
	}
	for _, w := range s.Workers {
		w.Crash()
	}
	s.Store.Close()
	_ = os.RemoveAll(s.dir)
}

// freePorts returns n consecutive free ports below those that the system gives to
// outgoing channels.
func freePorts(n int) (int, error) {
	for range 200 {
		port := 18000 + rand.IntN(1200)*10
		var held []net.Listener
		for i := range n {
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i)); err == nil {
				held = append(held, l)
			}
		}
		for _, l := range held {
			_ = l.Close()
		}
		if len(held) == n {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// startTime is how long a process has to be up to count as started. One whose port has
// been taken meanwhile ends before.
const startTime = 150 * time.Millisecond

// addProcess starts a process, and again on other ports if it ends at once.
func (s *Site) addProcess(add func() (*Process, error)) error {
	var last error
	for range 3 {
		p, err := add()
		if err != nil {
			return err
		}
		select {
		case <-p.ended:
			last = fmt.Errorf("%s ended at its start", p.name)
		case <-time.After(startTime):
			return nil
		}
	}
	return last
}

// AddEntry starts an entry. Its settings are those of deploy/entry.ini.
func (s *Site) AddEntry() error {
	s.Entries = append(s.Entries, nil)
	return s.addProcess(s.startEntry)
}

func (s *Site) startEntry() (*Process, error) {
	port, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	p := &Process{name: fmt.Sprintf("entry-%d", len(s.Entries)), role: "entry", site: s, Client: fmt.Sprintf("127.0.0.1:%d", port+2), Ready: fmt.Sprintf("127.0.0.1:%d", port+3)}
	p.settings = fmt.Sprintf(`[node]
name = %s
zone = zone-a
ip = 127.0.0.1
ports = %d,%d
store = %s
stopSeconds = 6
memoryMB = 284
cpuShare = 0.4

[entry]
clientAddress = %s
readinessAddress = %s
keepStatusSeconds = 120
leaseMs = 6000
stopRunMs = 200
reclaimMs = 2700
keyGraceMs = 5000
farFactor = 3
`, p.name, port, port+1, s.Store.Address, p.Client, p.Ready)
	s.Entries[len(s.Entries)-1] = p
	return p, p.Start()
}

// AddWorker starts a worker with the agent of its machine. The settings of the agent are
// those of deploy/agent.ini.
func (s *Site) AddWorker(w *Worker) error {
	if err := NewWorker(s.Log, w, "127.0.0.1:0"); err != nil {
		return err
	}
	s.agents = append(s.agents, nil)
	s.Workers = append(s.Workers, w)
	if err := s.addProcess(func() (*Process, error) { return s.startAgent(w) }); err != nil {
		return err
	}
	w.Begin()
	return nil
}

func (s *Site) startAgent(w *Worker) (*Process, error) {
	port, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	w.Agent = fmt.Sprintf("127.0.0.1:%d", port+2)
	p := &Process{name: fmt.Sprintf("side-%d", len(s.agents)), role: "agent", site: s}
	p.settings = fmt.Sprintf(`[node]
name = %s
zone = zone-a
ip = 127.0.0.1
ports = %d,%d
store = %s
stopSeconds = 6
memoryMB = 152

[agent]
workerAddress = %s
heartbeatAddress = %s
heartbeatMs = %d
capacityGraceMs = 3000
`, p.name, port, port+1, s.Store.Address, w.Address, w.Agent, heartbeatInterval.Milliseconds())
	s.agents[len(s.agents)-1] = p
	return p, p.Start()
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	path := filepath.Join(p.site.dir, p.name+".ini")
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.site.program, "site", p.role, "--settings", path)
	p.command.Env = append(os.Environ(), "CELERYPOINT_NODE_FILE="+path)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return err
	}
	p.site.Log.Add("process   %s is started, pid %d", p.name, p.command.Process.Pid)
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Restart stops the process with SIGTERM, as the platform does, and starts it again. An
// entry is then awaited until it is ready.
func (p *Process) Restart() error {
	p.site.Log.Add("process   %s gets SIGTERM", p.name)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		p.site.Log.Add("process   %s gets SIGKILL", p.name)
		p.Kill()
	}
	if err := p.Start(); err != nil {
		return err
	}
	return p.AwaitReady()
}

// AwaitReady waits until an entry says that it is ready.
func (p *Process) AwaitReady() error {
	if p.role != "entry" {
		return nil
	}
	client := http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + p.Ready + "/api/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", p.name)
}

// CopyLogs copies the logs of the processes to a folder, for the reader of a case.
func (s *Site) CopyLogs(dir string) {
	if dir == "" {
		return
	}
	for _, p := range append(append([]*Process{}, s.Entries...), s.agents...) {
		if data, err := os.ReadFile(filepath.Join(s.dir, p.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(dir, p.name+".log"), data, 0o600)
		}
	}
}

// Step is a step of a job, as a client sends it.
type Step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	Mem           int    `json:"mem_mb,omitempty"`
	GPUs          int    `json:"gpus,omitempty"`
	Estimate      int    `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// Job is a job, as a client sends it.
type Job struct {
	Spec     string `json:"spec"`
	Steps    []Step `json:"steps"`
	StartAt  int64  `json:"start_at_ms,omitempty"`
	Interval int    `json:"interval_ms,omitempty"`
	Times    int    `json:"times,omitempty"`
}

// Client makes the calls of a client with a key.
type Client struct {
	site *Site
	key  string
	http http.Client
	next int
}

// NewClient returns a client. Each call opens a channel of its own, which the platform
// hands to the entries in turn.
func (s *Site) NewClient(key string) *Client {
	return &Client{site: s, key: key, http: http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Call makes a call and returns the status, 0 if there was no answer, and the body.
func (c *Client) Call(method, path string, body any) (int, string) {
	var content io.Reader
	sent := ""
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		sent = string(encoded)
		content = bytes.NewReader(encoded)
	}
	e := c.site.Entries[c.next%len(c.site.Entries)]
	c.next++
	request, err := http.NewRequest(method, "http://"+e.Client+path, content)
	if err != nil {
		panic(err)
	}
	request.Host = "site.example"
	request.Header.Set("Authorization", "Token "+c.key)
	request.Header.Set("X-Request-Deadline-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	status, text := 0, ""
	response, err := c.http.Do(request)
	if err == nil {
		answered, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, strings.TrimSpace(string(answered))
	} else {
		text = err.Error()
	}
	c.site.Log.Add("client    %s %s %s to %s -> %d %s", method, path, sent, e.name, status, text)
	return status, text
}

// Submit hands a job in, and again as the pages tell after no answer or a refusal.
func (c *Client) Submit(path string, job Job) error {
	for range 10 {
		if status, _ := c.Call(http.MethodPost, path, job); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// Crash ends a worker. After the time down its machine has a new life of it, under the
// same id if sameID is set, whose first heartbeat comes after the time firstBeat.
func (s *Site) Crash(w *Worker, down time.Duration, sameID bool, firstBeat time.Duration) (*Worker, error) {
	w.Crash()
	time.Sleep(down)
	s.lives++
	next := &Worker{ID: w.ID, Service: w.Service, Rack: w.Rack, Kind: w.Kind, Room: w.Room, Agent: w.Agent, FirstBeat: firstBeat}
	if !sameID {
		next.ID = fmt.Sprintf("i-%d", 100+s.lives)
	}
	if err := NewWorker(s.Log, next, w.Address); err != nil {
		return nil, err
	}
	s.Workers = append(s.Workers, next)
	next.Begin()
	return next, nil
}
