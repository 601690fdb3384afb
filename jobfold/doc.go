// Package jobfold builds the state of jobs from the records of the jobs stream of
// the platform's log: the jobs that are accepted, the claims of non-idempotent
// requests to their idempotency keys, the terms of the regions' planners, and the
// commits, aborts and ends of attempts to run a job. Every entry that applies the
// same records gets the same state. The package owns no state beyond the State
// value that it is given, and takes no lock.
package jobfold
