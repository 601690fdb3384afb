// Command cases plays the cases of the review that are scripts. It exits with 0 if
// the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/review/standin"
)

// play plays a case. trouble says whether the disruption takes place. It returns what
// breaks the rule, empty if the rule held.
type play func(s *standin.Site, trouble bool) (broken string, err error)

var plays = map[string]play{
	"failed-on": failedOn,
	"share":     jobShare,
	"rack":      sameRack,
	"crashes":   crashedTwice,
	"same-id":   sameID,
	"service":   droppedRoute,
	"size":      largeProgress,
	"stranger":  strangeHeartbeat,
}

// longest is how long a case may take.
const longest = 117 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	program := flag.String("program", "", "path of the project's program")
	logs := flag.String("logs", "", "folder for copies of the processes' logs, if any")
	flag.Parse()
	os.Exit(run(plays[*name], *dir, *program, *logs))
}

func run(p play, dir, program, logs string) int {
	if p == nil {
		fmt.Println("unknown case")
		return 2
	}
	record, err := standin.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	site, err := standin.NewSite(record, program)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer site.Close()
	// The case ends its processes also when it is ended from outside, or takes too long.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(longest):
		}
		record.Add("verdict   could not run: ended from outside or after %s", longest)
		site.Close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Add("case      disruption: %t", trouble)
	broken, err := p(site, trouble)
	site.CopyLogs(logs)
	switch {
	case err != nil:
		record.Add("verdict   could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		record.Add("verdict   broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	record.Add("verdict   held")
	fmt.Println("held")
	return 0
}
