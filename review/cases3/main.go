// Command cases3 runs the cases of the review in review/REPORT-3.md that are scripts. Each run
// starts the project's programs as processes of their own beside stand-ins, on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(s *system, trouble bool) (broken bool, err error){
	"bodies":  runBodies,
	"pending": runPending,
	"gang":    runGang,
	"rack":    runRack,
	"vanish":  runVanish,
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == spawnArgument {
		os.Exit(serveSpawner())
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE FOLDER, at the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSystem(root, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, trouble %t", name, trouble)
	broken, err := cases[name](s, trouble)
	switch {
	case errors.Is(err, errSetup):
		s.note("not run: %v", err)
		return 2
	case err != nil:
		s.note("not run: %v", err)
		return 2
	case broken:
		s.note("the rule was broken")
		return 1
	}
	s.note("the rule held")
	return 0
}
