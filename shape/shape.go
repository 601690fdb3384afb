// Package shape holds the form of capacity that an organisation is owed or
// that a gang asks for: a number of VMs with accelerators on each, and how
// near to each other they must be. It owns no state and takes no lock.
package shape

import "fmt"

// Adjacency says how near the accelerators of one gang or shape must be.
type Adjacency string

// The adjacencies, from the nearest to the farthest. Each includes the ones
// before it: a gang that fits in one VM also meets AdjacencyZone.
const (
	AdjacencyVM     Adjacency = "vm"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyZone   Adjacency = "zone"
	AdjacencyRegion Adjacency = "region"
)

// ParseAdjacency checks an adjacency. The empty text means AdjacencyRegion.
func ParseAdjacency(text string) (Adjacency, error) {
	switch a := Adjacency(text); a {
	case "":
		return AdjacencyRegion, nil
	case AdjacencyVM, AdjacencyRack, AdjacencyZone, AdjacencyRegion:
		return a, nil
	default:
		return "", fmt.Errorf("adjacency: found %q, allowed: vm, rack, zone, region", text)
	}
}

// Shape is a number of VMs with accelerators on each.
type Shape struct {
	// VMs is the number of VMs. It is at least 1 in a valid shape.
	VMs int
	// AcceleratorsPerVM is the number of accelerators on each of the VMs. It
	// is at least 1 in a valid shape.
	AcceleratorsPerVM int
	// Adjacency bounds how far apart the VMs may be.
	Adjacency Adjacency
}

// Accelerators is the sum over the VMs of the shape.
func (s Shape) Accelerators() int { return s.VMs * s.AcceleratorsPerVM }

// Zero reports whether the shape asks for nothing.
func (s Shape) Zero() bool { return s.Accelerators() == 0 }

// Check reports what is wrong with the shape, or nil. A shape that asks for
// nothing is valid.
func (s Shape) Check() error {
	if s.VMs == 0 && s.AcceleratorsPerVM == 0 {
		return nil
	}
	if s.VMs < 1 || s.AcceleratorsPerVM < 1 {
		return fmt.Errorf("shape: found vms=%d acceleratorsPerVM=%d, allowed: both at least 1, or both 0", s.VMs, s.AcceleratorsPerVM)
	}
	if _, err := ParseAdjacency(string(s.Adjacency)); err != nil {
		return err
	}
	return nil
}
