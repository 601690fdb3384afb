// Package guarantee assigns the guaranteed capacity shape of each organisation
// to concrete VMs. A shape asks for a number of parts, each with a number of
// accelerators on one VM, and limits how far apart the parts may be. An
// assignment is a packing, so that an organisation has its whole shape and not
// only the sum of its accelerators.
//
// Shares that were assigned before stay where they are while they are valid.
// Then the shapes that are incomplete are placed, those that fit in the fewest
// places first, each in the narrowest domain (rack, zone, region, or one VM if
// the shape demands it) that holds it and the tightest of these. If no domain
// holds a shape, other shapes are moved out of a domain, provided that those of
// them that were complete fit elsewhere. Shapes that still do not fit are unmet
// and get as many parts as fit.
//
// The package owns no state and takes no lock.
package guarantee
