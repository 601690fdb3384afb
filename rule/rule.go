// Package rule defines the documentation record of a rule by which the scheduler
// refuses a request or keeps a job waiting. A refusal contains the name of the
// rule that caused it. The package owns no state and takes no lock.
package rule

// Rule documents one rule for the admission, the placement or the start of jobs.
type Rule struct {
	// Name is unique and in camelCase. Refusals and counters use it.
	Name string
	// Title is a summary of one line.
	Title string
	// Text explains the rule and what callers and operators can do about it.
	Text string
	// Since is the version that introduced the rule.
	Since string
}
