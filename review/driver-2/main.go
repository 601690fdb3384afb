// Command driver-2 plays the scripts of the second review. It starts the programs of the deploy
// file as processes of their own, with stand-ins for the store, the workers and the clients, on
// loopback addresses. It is run at the root of the repository:
//
//	target/review-driver-2 CASE FOLDER
//
// It writes record.txt to the folder. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case. broken is empty if the rule held.
type verdict struct{ broken string }

var cases = map[string]func(s *system, trouble bool) (verdict, error){
	"cutoffs": playCutOffs, "handover": playHandOver, "services": playServices, "rack": playRack, "longwork": playLongWork, "deadly": playDeadly, "gang": playGangFails, "crashloops": playCrashLoops,
}

func main() {
	if os.Getenv(spawnerEnv) != "" {
		serveSpawner()
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-driver-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func play(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	r := &record{out: out, begun: time.Now()}
	s, err := newSystem(dir, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", name, trouble)
	type result struct {
		verdict
		err error
	}
	results := make(chan result, 1)
	go func() {
		v, err := cases[name](s, trouble)
		results <- result{v, err}
	}()
	var res result
	select {
	case res = <-results:
	case <-time.After(timeLimit):
		res.err = fmt.Errorf("not done after %s", timeLimit)
	}
	s.close()
	switch {
	case res.err != nil:
		r.add("could not run: %v", res.err)
		fmt.Println("could not run:", res.err)
		return 2
	case res.broken != "":
		r.add("BROKEN: %s", res.broken)
		fmt.Println("broken:", res.broken)
		return 1
	}
	r.add("held")
	fmt.Println("held")
	return 0
}
