// Package jobfold folds the stream of job records: acceptance, claims of
// non-idempotent requests, planner terms, commits, aborts and ends. Every
// entry folds the same records to the same state. It owns no state beyond the
// value that it is given and takes no lock.
package jobfold
