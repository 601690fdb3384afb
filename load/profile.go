// Package load sends pseudo-random requests, reproducible by a seed, to a system
// for a limited time and reports what the callers observe: completion times, the
// share of requests answered within their deadlines, start delays, refusals, and
// capacity that stays idle while gangs wait. A Run owns the records of its
// requests and the sums of idle capacity; one mutex guards both.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/wire"
)

// Profile is a workload that is modelled on one deployment.
type Profile struct {
	// Name is the name of the profile on the command line.
	Name string
	// Title describes the workload.
	Title string
	// Zones is the number of availability zones of the deployment.
	Zones int
	// Orgs are the organisations to create before the run.
	Orgs []org.Org
	// Duration is how long requests are sent. The run then waits for the answers.
	Duration time.Duration
	// Requests generates the requests, sorted by SendAfter.
	Requests func(r *rand.Rand) []Request
}

// Request is one job to submit.
type Request struct {
	// SendAfter is the time between the start of the run and the submission.
	SendAfter time.Duration
	// Class is the kind of work by which the report groups requests.
	Class string
	Job   job.Job
	// DeadlineAfter is the time from the submission to the job's deadline. Zero
	// means no deadline. The caller waits for the outcome beyond the deadline.
	DeadlineAfter time.Duration
}

// Profiles returns all profiles.
func Profiles() []Profile {
	return []Profile{
		{Name: "dawn", Title: "Vörðulit: all crew leaders send requests at once while route sheets render", Zones: 4, Orgs: orgs("paint", "hikers", "towns", "rescue"), Duration: 12 * time.Second, Requests: dawn},
		{Name: "catalogue", Title: "Aguja Fiel: stylus lookups beside catalogue scoring with stragglers", Zones: 3, Orgs: orgs("museum", "radio", "repair", "dealers"), Duration: 12 * time.Second, Requests: catalogue},
		{Name: "lookups", Title: "the lookups of the profile catalogue without its long jobs", Zones: 3, Orgs: orgs("museum", "radio", "repair", "dealers"), Duration: 12 * time.Second, Requests: lookups},
		{Name: "fragment", Title: "bursts of small jobs, then gangs that need adjacent accelerators", Zones: 4, Orgs: orgs("paint", "hikers", "towns", "rescue"), Duration: 12 * time.Second, Requests: fragment},
		{Name: "reclaim", Title: "borrowing jobs fill every VM, then an organisation claims its guarantee", Zones: 4, Orgs: orgs("paint", "hikers", "towns", "rescue"), Duration: 8 * time.Second, Requests: reclaim},
		{Name: "misdeclared", Title: "declared run times that are too short or too long by a factor of ten, and jobs that can never run", Zones: 4, Orgs: orgs("paint", "hikers", "towns", "rescue"), Duration: 10 * time.Second, Requests: misdeclared},
	}
}

// Find returns the profile with the given name.
func Find(name string) (Profile, error) {
	var names []string
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Profile{}, fmt.Errorf("profile: found %q, allowed: %s", name, strings.Join(names, ", "))
}

// orgs returns organisations with guarantees. The first two have two whole VMs
// each, the others one VM each. The users' deployments have 11 VMs of 8 accelerators.
func orgs(names ...string) []org.Org {
	var result []org.Org
	for i, name := range names {
		vms := 1
		if i < 2 {
			vms = 2
		}
		result = append(result, org.Org{Name: name, Guarantee: shape.Shape{VMs: vms, AcceleratorsPerVM: 8, Adjacency: shape.AdjacencyRack}, ShedRank: i})
	}
	return result
}

// jobSpec describes a job to generate. run is how long its tasks run, declared the
// run time that the request declares. By default declared equals run and the
// adjacency is the zone. seed determines the answer.
type jobSpec struct {
	org          string
	tasks        int
	accelerators int
	urgency      job.Urgency
	run          time.Duration
	declared     time.Duration
	preemptible  bool
	adjacency    shape.Adjacency
	seed         int
}

const answerBytes = 256

func (w jobSpec) job() job.Job {
	payload, err := json.Marshal(wire.StandinPayload{RunMs: int(w.run.Milliseconds()), AnswerBytes: answerBytes, Seed: w.seed})
	if err != nil {
		panic(err) // a struct of numbers always encodes
	}
	if w.declared == 0 {
		w.declared = w.run
	}
	if w.adjacency == "" {
		w.adjacency = shape.AdjacencyZone
	}
	return job.Job{
		Org: w.org, Tasks: w.tasks, AcceleratorsPerTask: w.accelerators, Adjacency: w.adjacency, Urgency: w.urgency,
		Idempotent: true, Preemptible: w.preemptible, DeclaredRun: w.declared, Payload: payload,
	}
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

func sortBySendTime(requests []Request) []Request {
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.SendAfter - b.SendAfter) })
	return requests
}

// colourCheck generates a short urgent request whose answer is useless after its
// deadline.
func colourCheck(r *rand.Rand, after time.Duration, name string) Request {
	w := jobSpec{org: name, tasks: 1, accelerators: 1, urgency: job.UrgencyUrgent, run: randomDuration(r, 30*time.Millisecond, 120*time.Millisecond), seed: r.IntN(1 << 30)}
	return Request{SendAfter: after, Class: "colourCheck", Job: w.job(), DeadlineAfter: 2 * time.Second}
}

// dawn generates 14 gangs that render route sheets, sent within the first three
// seconds, and 40 colour checks within the first five. In the two seconds after
// that it adds a burst of 1,400 colour checks.
func dawn(r *rand.Rand) []Request {
	var requests []Request
	for range 14 {
		w := jobSpec{org: pick(r, "paint", "hikers", "towns"), tasks: pick(r, 4, 8, 16), accelerators: 1, urgency: job.UrgencyBatch, run: randomDuration(r, 3*time.Second, 8*time.Second), preemptible: true, seed: r.IntN(1 << 30)}
		requests = append(requests, Request{SendAfter: randomDuration(r, 0, 3*time.Second), Class: "routeSheets", Job: w.job()})
	}
	for range 40 {
		requests = append(requests, colourCheck(r, randomDuration(r, 0, 5*time.Second), pick(r, "paint", "hikers", "towns", "rescue")))
	}
	for range 1400 {
		requests = append(requests, colourCheck(r, randomDuration(r, 5*time.Second, 7*time.Second), pick(r, "paint", "hikers", "towns", "rescue")))
	}
	return sortBySendTime(requests)
}

func lookups(r *rand.Rand) []Request {
	var requests []Request
	for at := time.Duration(0); at < 11*time.Second; at += randomDuration(r, 5*time.Millisecond, 45*time.Millisecond) {
		w := jobSpec{org: pick(r, "radio", "repair"), tasks: 1, accelerators: 1, urgency: job.UrgencyUrgent, run: randomDuration(r, 20*time.Millisecond, 60*time.Millisecond), seed: r.IntN(1 << 30)}
		requests = append(requests, Request{SendAfter: at, Class: "stylusLookup", Job: w.job(), DeadlineAfter: 2 * time.Second})
	}
	return requests
}

// catalogue adds scoring jobs to the lookups. About one in ten scoring jobs is a
// straggler that runs four times as long as it declares.
func catalogue(r *rand.Rand) []Request {
	requests := lookups(r)
	for range 40 {
		run := randomDuration(r, time.Second, 3*time.Second)
		declared := run
		if r.IntN(10) == 0 {
			run *= 4
		}
		w := jobSpec{org: pick(r, "museum", "dealers"), tasks: pick(r, 2, 4, 8), accelerators: pick(r, 1, 2), urgency: job.UrgencyBatch, run: run, declared: declared, preemptible: true, seed: r.IntN(1 << 30)}
		requests = append(requests, Request{SendAfter: randomDuration(r, 0, 8*time.Second), Class: "catalogueScoring", Job: w.job()})
	}
	return sortBySendTime(requests)
}

// fragment generates three bursts of jobs with one accelerator, which scatter over
// the VMs. Each burst is followed by jobs of 8, 16 and 32 accelerators, which need
// one, two and four whole VMs.
func fragment(r *rand.Rand) []Request {
	var requests []Request
	for burst := range 3 {
		at := time.Duration(burst) * 3 * time.Second
		for range 60 {
			w := jobSpec{org: pick(r, "paint", "hikers", "towns", "rescue"), tasks: 1, accelerators: 1, urgency: job.UrgencyNormal, run: randomDuration(r, 500*time.Millisecond, 4*time.Second), preemptible: r.IntN(2) == 0, seed: r.IntN(1 << 30)}
			requests = append(requests, Request{SendAfter: at + randomDuration(r, 0, 500*time.Millisecond), Class: "small", Job: w.job()})
		}
		for _, size := range []int{8, 16, 32} {
			w := jobSpec{org: pick(r, "paint", "hikers"), tasks: size / 8, accelerators: 8, urgency: job.UrgencyNormal, run: randomDuration(r, time.Second, 2*time.Second), preemptible: true, adjacency: shape.AdjacencyRegion, seed: r.IntN(1 << 30)}
			requests = append(requests, Request{SendAfter: at + time.Second, Class: fmt.Sprintf("gang%d", size), Job: w.job()})
		}
	}
	return sortBySendTime(requests)
}

func reclaim(r *rand.Rand) []Request {
	var requests []Request
	for range 22 {
		w := jobSpec{org: pick(r, "towns", "rescue"), tasks: 1, accelerators: 4, urgency: job.UrgencyBatch, run: randomDuration(r, 8*time.Second, 12*time.Second), preemptible: true, seed: r.IntN(1 << 30)}
		requests = append(requests, Request{SendAfter: randomDuration(r, 0, 500*time.Millisecond), Class: "borrower", Job: w.job()})
	}
	w := jobSpec{org: "paint", tasks: 2, accelerators: 8, urgency: job.UrgencyNormal, run: time.Second, adjacency: shape.AdjacencyRack, seed: r.IntN(1 << 30)}
	requests = append(requests, Request{SendAfter: 4 * time.Second, Class: "owner", Job: w.job()})
	return sortBySendTime(requests)
}

func misdeclared(r *rand.Rand) []Request {
	var requests []Request
	for range 120 {
		run := randomDuration(r, 100*time.Millisecond, 2*time.Second)
		declared := pick(r, run/10, run, run*10)
		w := jobSpec{org: pick(r, "paint", "hikers", "towns", "rescue"), tasks: pick(r, 1, 2, 4), accelerators: pick(r, 1, 2), urgency: job.UrgencyNormal, run: run, declared: declared, preemptible: r.IntN(2) == 0, seed: r.IntN(1 << 30)}
		requests = append(requests, Request{SendAfter: randomDuration(r, 0, 6*time.Second), Class: "misdeclared", Job: w.job()})
	}
	for range 10 {
		w := jobSpec{org: "paint", tasks: 1, accelerators: 9, urgency: job.UrgencyNormal, run: time.Second, seed: r.IntN(1 << 30)}
		requests = append(requests, Request{SendAfter: randomDuration(r, 0, 6*time.Second), Class: "impossible", Job: w.job()})
	}
	for range 100 {
		requests = append(requests, colourCheck(r, randomDuration(r, 0, 8*time.Second), pick(r, "paint", "rescue")))
	}
	return sortBySendTime(requests)
}
