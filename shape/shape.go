// Package shape describes the capacity that an organisation is guaranteed: a
// number of parts, each with a number of accelerators on one VM, and how near to
// each other they must be. A gang, which is a job with several tasks, states with
// the same Adjacency type how near its tasks must be. The package owns no state
// and takes no lock.
package shape

import "fmt"

// Adjacency says how near to each other the accelerators of one gang or shape
// must be: within one VM, rack, zone or region.
type Adjacency string

// The adjacencies, from the narrowest to the widest. Each is also satisfied by
// the narrower ones: a gang that is on one VM satisfies AdjacencyZone.
const (
	AdjacencyVM     Adjacency = "vm"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyZone   Adjacency = "zone"
	AdjacencyRegion Adjacency = "region"
)

// ParseAdjacency parses an adjacency. The empty string means AdjacencyRegion.
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

// Shape is a number of parts with the same number of accelerators each. All
// accelerators of a part are on one VM.
type Shape struct {
	// VMs is the number of parts. Each is on a VM of its own where possible, but
	// with AdjacencyVM all parts are on the same VM. In a valid shape VMs is at
	// least 1, or 0 if the shape asks for nothing.
	VMs int
	// AcceleratorsPerVM is the number of accelerators of each part. In a valid
	// shape it is at least 1, or 0 if the shape asks for nothing.
	AcceleratorsPerVM int
	// Adjacency bounds how far apart the parts may be. The empty value means
	// AdjacencyRegion.
	Adjacency Adjacency
}

// Accelerators returns the number of accelerators of all parts.
func (s Shape) Accelerators() int { return s.VMs * s.AcceleratorsPerVM }

// Zero reports whether the shape asks for nothing.
func (s Shape) Zero() bool { return s.Accelerators() == 0 }

// Check returns an error if the shape is invalid. A shape that asks for nothing
// is valid.
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
