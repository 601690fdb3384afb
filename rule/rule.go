// Package rule holds the documentation record of one rule of the scheduler. A
// refusal carries the name of the rule that refused.
package rule

// Rule describes one placement, admission or refusal rule.
type Rule struct {
	// Name is in camelCase and unique; refusals and counters carry it.
	Name string
	// Title is one line.
	Title string
	// Text explains the rule, and what a caller or operator can do about it.
	Text string
	// Since is the version that introduced the rule.
	Since string
}
