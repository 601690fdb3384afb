package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"celerypoint.example/celerypoint/steps"
)

const (
	clientCount = 4
	// requestTimeout is how long a client waits for a response. maxRetries is how
	// often it repeats a submission or a cancellation at most.
	requestTimeout = 3 * time.Second
	maxRetries     = 4
	// crashingShare is the inverse of the share of jobs that crash their workers.
	crashingShare = 20
)

// submission is a job as the client that submitted it knows it.
type submission struct {
	id, spec  string
	taskCount int
	gang      bool
	// crashes says that each task of the job crashes the worker that starts it.
	crashes bool
	// accepted reports whether a submission was answered with 200. mayBeAccepted
	// reports whether a submission had no response, or one that does not show
	// whether the job was accepted.
	accepted, mayBeAccepted bool
	// cancelSent reports whether a cancellation was sent, cancelAcknowledged
	// whether one was answered with 200 or 410 Gone.
	cancelSent, cancelAcknowledged bool
}

// client submits jobs and reuses its connections while they stay open.
type client struct {
	system *system
	random *rand.Rand
	// crashRandom chooses the jobs that crash their workers. It is apart from random, so
	// that a seed gives the same schedule as before there were such jobs.
	crashRandom *rand.Rand
	http        http.Client
	id          int
	// longRuns says that all jobs have one task of one accelerator whose run takes longRunMs
	// to twice as long.
	longRuns bool
	// failingGangs says that all jobs are gangs whose members run on different VMs and fail
	// at the same time.
	failingGangs bool

	mu   sync.Mutex
	jobs []*submission
}

func (s *system) newClient(i int) *client {
	return &client{
		system: s, id: i, random: rand.New(rand.NewPCG(s.seed, uint64(100+i))), crashRandom: rand.New(rand.NewPCG(s.seed, uint64(200+i))),
		http: http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// newestKey returns the newest API key, which is not revoked. Entries may not
// have read it from the configuration yet; they then refuse it.
func (s *system) newestKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return apiKeyName(len(s.keyRevokedAt) - 1)
}

// call sends one request. The status is 0 if there was no complete response
// with a JSON body; the request may have been carried out all the same.
func (c *client) call(e *entryNode, method, path, key string, body any) (status int, reply map[string]any) {
	text, err := json.Marshal(body)
	if err != nil {
		c.system.fail("client: %v", err)
		return 0, nil
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.clientProxy.Address()+path, bytes.NewReader(text))
	if err != nil {
		c.system.fail("client: %v", err)
		return 0, nil
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return 0, nil
	}
	return response.StatusCode, reply
}

// sendRequests submits jobs, cancels some of the accepted ones and queries the
// states of random ones until ctx ends.
func (c *client) sendRequests(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		j := c.submitJob(n)
		if j.accepted && c.random.IntN(5) == 0 {
			c.cancel(j)
		}
		for range 3 {
			c.poll(pick(c.random, c.submissions()))
		}
		time.Sleep(time.Duration(300+c.random.IntN(1500)) * time.Millisecond)
		if c.failingGangs {
			time.Sleep(failingPause)
		}
	}
}

func (c *client) submissions() []*submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs
}

// submitJob submits a job to randomly chosen entries until one accepts it or
// the retries are used up.
func (c *client) submitJob(n int) *submission {
	count, gpus := 1+c.random.IntN(4), pick(c.random, []int{1, 1, 2, 4, 8})
	runMs := 50 + c.random.IntN(1000)
	if c.random.IntN(8) == 0 {
		runMs *= 6
	}
	j := &submission{id: fmt.Sprintf("%08x%08x", c.id, n), taskCount: count, gang: c.random.IntN(2) == 0}
	if c.longRuns {
		count, gpus, runMs = 1, 1, longRunMs+c.random.IntN(longRunMs)
		j.taskCount, j.gang = 1, false
	}
	j.spec = fmt.Sprintf("run %d %s", runMs, j.id)
	if j.crashes = c.crashRandom.IntN(crashingShare) == 0; j.crashes {
		j.spec = fmt.Sprintf("crash %d %s", 5+c.crashRandom.IntN(300), j.id)
	}
	step := map[string]any{"estimate_ms": runMs}
	if c.failingGangs {
		count, gpus, step["anti_affinity"] = 2+c.random.IntN(2), 1, 1
		j.taskCount, j.gang, j.crashes = count, true, false
		j.spec = fmt.Sprintf("fail %d %s", 800+c.random.IntN(1500), j.id)
	}
	c.system.mu.Lock()
	c.system.taskResources[j.id] = steps.Resources{CPU: 1000, MemMB: 1024, GPUs: gpus}
	c.system.mu.Unlock()
	maps.Copy(step, map[string]any{"count": count, "cpu": 1000, "mem_mb": 1024, "gpus": gpus, "gang": j.gang})
	body := map[string]any{"spec": j.spec, "steps": []any{step}}
	queue := pick(c.random, []string{"urgent", "normal", "batch"})
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	for range 1 + maxRetries {
		status, _ := c.call(pick(c.random, c.system.entries), http.MethodPost, "/"+queue+"/"+j.id, c.system.newestKey(), body)
		switch status {
		case http.StatusOK:
			j.accepted = true
			c.system.recordAcceptance(j.id, queue)
			return j
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusUnauthorized, http.StatusNotFound:
		case http.StatusBadRequest:
			c.system.fail("job %s: refused as invalid", j.id)
		default:
			j.mayBeAccepted = true
		}
		time.Sleep(time.Duration(100+c.random.IntN(400)) * time.Millisecond)
	}
	return j
}

func (c *client) cancel(j *submission) {
	j.cancelSent = true
	c.system.forgetAcceptance(j.id)
	for range 1 + maxRetries {
		status, _ := c.call(pick(c.random, c.system.entries), http.MethodDelete, "/normal/"+j.id, c.system.newestKey(), nil)
		if status == http.StatusOK || status == http.StatusGone {
			j.cancelAcknowledged = true
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// poll queries a job's state and checks the response.
func (c *client) poll(j *submission) {
	accepted := j.accepted
	status, reply := c.call(pick(c.random, c.system.entries), http.MethodGet, "/normal/"+j.id, c.system.newestKey(), nil)
	state, _ := reply["state"].(string)
	switch {
	case status == http.StatusGone && accepted:
		c.system.fail("job %s was accepted, but an entry answered 410 Gone", j.id)
	case status != http.StatusOK:
	case state == "completed":
		c.system.checkCompleted(j)
	case state == "cancelled" && !j.cancelSent:
		c.system.fail("job %s is reported as cancelled, but no cancellation was sent", j.id)
	}
}

// probeRevokedKeys sends requests with API keys that were revoked more than
// keyGraceMs ago, until ctx ends. They must be refused.
func (c *client) probeRevokedKeys(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		sent := time.Now()
		c.system.mu.Lock()
		var revokedKeys []string
		for key, revoked := range c.system.keyRevokedAt {
			if !revoked.IsZero() && sent.Sub(revoked) > keyGraceMs*time.Millisecond {
				revokedKeys = append(revokedKeys, key)
			}
		}
		c.system.mu.Unlock()
		if len(revokedKeys) == 0 {
			continue
		}
		key, e := pick(c.random, revokedKeys), pick(c.random, c.system.entries)
		if status, _ := c.call(e, http.MethodGet, "/normal/", key, nil); status == http.StatusOK {
			c.system.fail("%s accepts the revoked API key %s", e.name, key)
		}
	}
}
