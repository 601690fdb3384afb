// Package configfold folds the configuration stream: organisations, labels,
// drains and the guarantee assignment. Every process folds the same records to
// the same state. It owns no state beyond the value that it is given and takes
// no lock.
package configfold
