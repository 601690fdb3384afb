// Package soak holds a randomized soak of the whole path on the platform: the
// real programs as separate processes on one machine, with stand-ins of the
// platform's store and workers. Faults come from outside the programs: links
// that are delayed, cut, silent or open one way through a loopback proxy;
// processes that are stopped, paused, killed and restarted by signals; a store
// and workers that misbehave; configurations that change and keys that are
// taken away. They come in series and overlap.
//
// While it runs, it checks the promises from what clients and workers see. A
// seed fixes the schedule, though not the timing of the processes:
//
//	go test ./soak -soak.seeds 50 -soak.parallel 4
//	go test ./soak -soak.seed 1234 -soak.keep /tmp/soak
//
// testdata/seeds.txt keeps each seed that ever failed with its cause. The
// processes' clocks cannot be stepped from outside; pauses make them miss time.
package soak
