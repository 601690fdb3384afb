// Package configfold folds the config stream of the platform's log, which means
// that it computes a state by applying the records of the stream one after the
// other. The state is the configuration: organisations, the labels that operators
// set on VMs, drains of VMs, and the assignment of accelerators to the
// organisations' guarantees. Every process that applies the same records gets the same state. The
// package owns no state beyond the State value that it is given, and takes no lock.
package configfold
