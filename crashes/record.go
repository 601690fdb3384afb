// Package crashes keeps, for a task, the runs during which a worker crashed, and decides
// from them whether the task is to blame. A crash is evidence against every run that the
// worker had, since nothing shows which of them caused it. Work that only ran beside the
// cause is told from it by what happens next: it outlives the time at which the earlier
// runs were lost. A task whose runs never do is to blame.
//
// The package uses no clock, owns no state and takes no lock.
package crashes

import "time"

// Limit is the number of crashes after which a task is to blame. The users' platform
// allows less than three further starts after three crashes. The difference covers
// crashes that nobody could observe, such as those of a VM whose agent stopped too.
const Limit = 3

// MaxLosses is the number of losses of all kinds after which a task is to blame: crashes, and
// weaker evidence, such as crashes of workers that had not answered the start. Such a start
// mostly did not arrive, so that it takes more of these losses than of crashes.
const MaxLosses = Limit + 2

// Rule names the rule by which a job is given up because of its crashes.
const Rule = "taskCrashesWorkers"

// A run outlives an earlier one that was lost after the time lost if it is still there
// after outliveFactor times as long and outliveMargin, by which reports may be late.
const (
	outliveFactor = 1.5
	outliveMargin = 500 * time.Millisecond
)

// Outlives reports whether a run of the given age has outlived runs that were lost after
// the time lost or earlier, 0 if that time is not known.
func Outlives(age, lost time.Duration) bool {
	return lost > 0 && age > time.Duration(outliveFactor*float64(lost))+outliveMargin
}

// Record holds the crashes during runs of one task. The zero value has none. Records can
// be compared with ==.
type Record struct {
	// Runs holds the numbers of the runs that were lost in a crash after ClearedThrough,
	// in increasing order and followed by zeros.
	Runs [Limit]int
	// ClearedThrough is the number of the newest run that outlived the earlier ones. Runs
	// up to it no longer count.
	ClearedThrough int
}

// Add returns the record with a further run. Adding a run again, or one that no longer
// counts, changes nothing.
func (r Record) Add(run int) Record {
	if run <= r.ClearedThrough {
		return r
	}
	for i, counted := range r.Runs {
		switch {
		case counted == run:
			return r
		case counted == 0 || run < counted:
			copy(r.Runs[i+1:], r.Runs[i:])
			r.Runs[i] = run
			return r
		}
	}
	return r
}

// Clear returns the record after the run has outlived the earlier ones.
func (r Record) Clear(run int) Record {
	cleared := Record{ClearedThrough: max(run, r.ClearedThrough)}
	for _, counted := range r.Runs {
		if counted > 0 {
			cleared = cleared.Add(counted)
		}
	}
	return cleared
}

// Count is the number of crashes that count against the task.
func (r Record) Count() int {
	n := 0
	for _, run := range r.Runs {
		if run > 0 {
			n++
		}
	}
	return n
}

// Suspect reports whether the task may be the cause of a crash.
func (r Record) Suspect() bool { return r.Runs[0] > 0 }

// Blamed reports whether the task is taken for the cause of its crashes.
func (r Record) Blamed() bool { return r.Count() >= Limit }
