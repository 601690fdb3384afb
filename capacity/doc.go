// Package capacity measures how the resource use of the control plane grows
// with the number of VMs. It has test files only. The measurement starts real
// processes and takes minutes, so it runs only if the flag -capacity is given:
//
//	go test ./capacity -capacity -timeout 8m
//
// docs/CAPACITY.md uses the slopes that the measurement reports to compute the
// resource use at the design size of 4,800 VMs.
package capacity
