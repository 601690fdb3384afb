package guarantee

// Assignment says which accelerators of which VMs are owed to whom. It is a
// record of the configuration, so every process holds the same one.
type Assignment struct {
	// Shares maps organisation to VM ID to accelerators, each at least 1. The
	// sum over the organisations never exceeds a VM's accelerators.
	Shares map[string]map[string]int
	// Unmet names, in order, the organisations whose guaranteed shape does
	// not fit. What did fit of their shape is in Shares.
	Unmet []string
}

// SharesOnVM maps organisation to the accelerators that it is owed on the VM.
func (a Assignment) SharesOnVM(id string) map[string]int {
	shares := map[string]int{}
	for org, vms := range a.Shares {
		if n := vms[id]; n > 0 {
			shares[org] = n
		}
	}
	return shares
}
