// Package disruption limits how many tasks of a step the system's own orders make unavailable
// to the users of these tasks at the same time. A task that is unavailable for another reason
// counts as well, since its users do not care why it is.
//
// The package uses no clock, owns no state and takes no lock.
package disruption

// Rule names the rule by which a run is not stopped.
const Rule = "disruptionBudget"

// Budget is what is left of the tasks of a step that may be unavailable at the same time.
type Budget struct {
	// Limit is the number of tasks that may be unavailable when one is stopped; 0 means that
	// any number may.
	Limit int
	// Unavailable is the number of tasks that are unavailable, or will be once the orders
	// that have been given are carried out.
	Unavailable int
}

// Allows reports whether further tasks that are available may be stopped together.
func (b Budget) Allows(tasks int) bool {
	return b.Limit == 0 || tasks == 0 || b.Unavailable+tasks <= b.Limit
}
