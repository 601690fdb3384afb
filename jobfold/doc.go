// Package jobfold folds the jobs stream of the platform's log, which means that it
// applies the records of the stream in order to get a state: the jobs that are accepted, the claims of non-idempotent
// requests to their idempotency keys, the terms of the regions' planners, and the
// commits, aborts and ends of attempts to run a job. Every entry that applies the
// same records gets the same state. The package owns no state beyond the State
// value that it is given, and takes no lock.
package jobfold
