package guarantee

// Assignment says how many accelerators of each VM are guaranteed to each
// organisation. It is stored as a record of the configuration, so every process
// holds the same assignment.
type Assignment struct {
	// Shares maps organisation name to VM ID to number of accelerators, each at
	// least 1. The sum over the organisations never exceeds the accelerators of
	// the VM.
	Shares map[string]map[string]int
	// Unmet holds the sorted names of the organisations whose guaranteed shape
	// could not be placed as a whole. Shares has the parts of their shapes that
	// were placed.
	Unmet []string
}

// SharesOnVM returns the shares on one VM, as a map from organisation name to
// number of accelerators.
func (a Assignment) SharesOnVM(id string) map[string]int {
	shares := map[string]int{}
	for org, vms := range a.Shares {
		if n := vms[id]; n > 0 {
			shares[org] = n
		}
	}
	return shares
}
