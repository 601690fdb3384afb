// Package placement decides which waiting job goes to which VMs. A plan is only
// a proposal: the agent of each VM decides whether to accept its part.
//
// A share is the number of accelerators of a VM that are assigned to an
// organisation as part of its guarantee. For each VM, the planning pass keeps an
// account for each organisation: the organisation's share and what its work
// uses. Accelerators that are in no share are unassigned. Non-preemptible work
// uses the share of its organisation and unassigned accelerators. Preemptible
// work also borrows from the shares of other organisations, and an organisation
// that is within its guarantee reclaims its own share from borrowers. A pass
// charges each job that it places to the accounts, so later jobs see the
// capacity that remains.
//
// PolicyAdjacent looks for the narrowest domain that holds a gang (VM, rack,
// zone, region), and packs the gang tightly in it so that large free blocks
// remain. For the oldest gang that does not fit now, it reserves the VMs on
// which the gang can start earliest. Later jobs use these VMs only if they are
// expected to end before the gang starts (backfill).
//
// The package owns no state that outlives a pass and takes no lock.
package placement
