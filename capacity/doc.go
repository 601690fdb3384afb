// Package capacity measures what the control plane costs as the number of VMs
// grows. It has test files only. The measurement starts real processes and
// runs for minutes, so it runs only when it is asked for:
//
//	go test ./capacity -capacity -timeout 8m
//
// docs/CAPACITY.md computes the cost at the design size from its slopes.
package capacity
