// Package guarantee assigns each organisation's guaranteed shape to concrete
// VMs: a packing, so that the shape is there as promised and not only as a
// sum.
//
// Shares stay where they are while they are valid. Shapes that are not whole
// are then placed, those that fit in the fewest places first, each in the
// nearest and tightest domain that holds it. When none does, others are moved
// out of a domain, as long as they find another place. The rest is unmet and
// keeps the part that fits.
//
// The package owns no state and takes no lock.
package guarantee
