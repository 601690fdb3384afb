// Package guarantee assigns each organisation's guaranteed shape to concrete
// VMs: a packing, so that the shape is there as promised and not only as a
// sum. It owns no state and takes no lock.
package guarantee
