// Package soak holds a randomized soak test of a deployment on the platform.
// The real programs run as separate processes on one machine, with stand-ins
// for the platform's store and workers. All faults are injected from outside
// the programs. A loopback proxy delays or cuts network links, or blocks them
// in one or both directions. Signals stop, pause and kill processes, which are
// then restarted or resumed. The store and the workers misbehave,
// configurations change, API keys are revoked, and workers lose capacity or refuse starts
// for a while. Some jobs crash each worker that starts them, and the members of some gangs
// fail at the same time. Workers stay away for a while after a crash, the
// paths between them and their agents are disturbed, calls reach them seconds late, and
// other writers send heartbeats for them. Open connections go silent for good while new
// ones work. Faults follow each other and overlap.
//
// The test checks the system's invariants from what clients and workers
// observe. A seed determines the schedule of faults, but not the timing of the
// processes:
//
//	go test ./soak -soak.seeds 50 -soak.parallel 4
//	go test ./soak -soak.seed 1234 -soak.keep /tmp/soak
//	go test ./soak -soak.seed 1234 -soak.faults general,path
//
// testdata/seeds.txt lists seeds that have failed, with the cause, and testdata/ci.txt
// further seeds that CI runs. A seed that fails leaves a directory with the faults and
// violations (story.txt), the runs on all workers (runs.txt) and the logs of the processes.
// The test cannot step the clocks of the processes from outside. Instead, it pauses
// processes, which then miss the time that passes.
package soak
