// Package placement decides which waiting job goes to which VMs. A plan is a
// proposal: each VM's agent decides. It owns no state and takes no lock.
package placement
