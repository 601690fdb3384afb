// Package jobfold folds the jobs stream of the platform's log, which means that it
// computes a state by applying the records of the stream one after the other. The
// state consists of the accepted jobs, the claims of jobs that are not idempotent to
// their idempotency keys, the terms of the regions' planners, and what the commits,
// aborts and ends of attempts have made of the jobs. Every entry that applies the
// same records gets the same state. The package owns no state beyond the State
// value that it is given, and takes no lock.
package jobfold
