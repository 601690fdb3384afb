// Package placement decides which waiting job goes to which VMs. A plan is a
// proposal: each VM's agent decides.
//
// On each VM an organisation has an account: its share of the guarantee
// assignment and what its work uses. Accelerators outside all shares are owed
// to nobody. Non-preemptible work takes its own share and what nobody is owed;
// preemptible work also borrows from the shares of others, and an organisation
// within its guarantee reclaims its own share from borrowers. A pass charges
// each job that it places to the accounts, so later jobs see what is left.
//
// PolicyAdjacent looks for the nearest domain that holds a gang (VM, rack,
// zone, region) and in it for the tightest packing, so that large holes stay.
// The oldest gang that does not fit reserves the VMs on which it can start
// first; later jobs use them only if they are expected to end before.
//
// The package owns no state that outlives a pass and takes no lock.
package placement
