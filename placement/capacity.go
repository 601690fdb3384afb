package placement

// account is what one organisation is guaranteed and uses on one VM, in
// accelerators unless stated otherwise.
type account struct {
	// org is the organisation's index in slices such as pass.used. The map
	// pass.orgs holds it by the organisation's name.
	org int
	// share is what is assigned to the organisation under its guarantee.
	share int
	// used is what all its work uses, and nonPreemptible the part of it that
	// non-preemptible work uses.
	used, nonPreemptible int
	// newPreemptible is the part of used that preemptible work uses which this
	// pass has placed. The pass does not reclaim it.
	newPreemptible int
	// slotOnlyTasks counts the preemptible tasks without accelerators that were
	// on the VM before the pass.
	slotOnlyTasks int
}

// overShare returns the use beyond the organisation's share.
func (a account) overShare() int { return max(0, a.used-a.share) }

// borrowed returns the part of the use beyond the organisation's share that
// other organisations may reclaim: that of preemptible work that was on the VM
// before the pass.
func (a account) borrowed() int { return min(a.used-a.nonPreemptible-a.newPreemptible, a.overShare()) }

// vmCapacity is the capacity of one VM during a pass.
type vmCapacity struct {
	usable bool
	// needsProbe says that the VM's quarantine period has ended, but that the VM
	// first has to run one task as a probe.
	needsProbe bool
	// free is the number of free accelerators, and slots the number of tasks
	// that can still start. Both are 0 if the VM is not usable.
	free, slots int
	// unassigned is the number of accelerators that are in no share.
	unassigned int
	// overShare sums over the organisations what their work uses beyond their
	// shares, and nonPreemptibleOverShare what their non-preemptible work uses
	// beyond them.
	overShare, nonPreemptibleOverShare int
	// borrowed sums over the organisations the accelerators that others may
	// reclaim.
	borrowed int
	// slotOnlyTasks sums account.slotOnlyTasks over the organisations. The
	// placements of the pass may evict up to slotOnlyEvicted of these tasks.
	slotOnlyTasks, slotOnlyEvicted int
	// largestTask is the most accelerators that one preemptible task held before
	// the pass.
	largestTask int
	// evicted is the number of accelerators that the placements of the pass
	// reclaim, and reclaimedSlots the number of slots.
	evicted, reclaimedSlots int
	// evictedForSlots is the largest number of borrowed accelerators that may
	// become free when the agent evicts tasks to free slots for the placements of
	// the pass. The pass may still reclaim these accelerators, but assumes that
	// this frees no further slots.
	evictedForSlots int
	accounts        []account
}

func (c *vmCapacity) account(org int) account {
	for _, a := range c.accounts {
		if a.org == org {
			return a
		}
	}
	return account{org: org}
}

// charge adds the change to an organisation's account and updates the sums over
// the accounts.
func (c *vmCapacity) charge(org int, change account) {
	position := -1
	for i := range c.accounts {
		if c.accounts[i].org == org {
			position = i
		}
	}
	if position < 0 {
		c.accounts = append(c.accounts, account{org: org})
		position = len(c.accounts) - 1
	}
	entry := &c.accounts[position]
	c.overShare -= entry.overShare()
	c.nonPreemptibleOverShare -= max(0, entry.nonPreemptible-entry.share)
	c.borrowed -= entry.borrowed()
	entry.share += change.share
	entry.used += change.used
	entry.nonPreemptible += change.nonPreemptible
	entry.newPreemptible += change.newPreemptible
	entry.slotOnlyTasks += change.slotOnlyTasks
	c.slotOnlyTasks += change.slotOnlyTasks
	c.overShare += entry.overShare()
	c.nonPreemptibleOverShare += max(0, entry.nonPreemptible-entry.share)
	c.borrowed += entry.borrowed()
}

// nonPreemptibleRoom returns how many more accelerators non-preemptible work of
// the organisation may use: those of its own share and the unassigned ones that
// no non-preemptible work uses. Whether they are free does not matter.
func (c *vmCapacity) nonPreemptibleRoom(a account) int {
	return max(0, a.share-a.nonPreemptible) + max(0, c.unassigned-c.nonPreemptibleOverShare)
}

// roomWithoutBorrowing returns the number of free accelerators that the request
// may use without borrowing, from its organisation's own share and the
// unassigned ones. inShare is the part of them within the own share. Of the
// organisation's work, only the non-preemptible part counts against the share if
// the request is non-preemptible. inShare is negative if the work that counts
// exceeds the share.
func (c *vmCapacity) roomWithoutBorrowing(r *request) (room, inShare int) {
	a := c.account(r.org)
	if r.nonPreemptible {
		return min(c.free, c.nonPreemptibleRoom(a)), min(c.free, a.share-a.nonPreemptible)
	}
	return min(c.free, max(0, a.share-a.used)+max(0, c.unassigned-c.overShare)), min(c.free, a.share-a.used)
}

// reclaimRoom returns the number of accelerators that the request may use if
// borrowers of its organisation's own share are evicted. It is negative if the
// organisation already uses more than its share.
func (c *vmCapacity) reclaimRoom(r *request) int {
	a := c.account(r.org)
	n := min(c.free+c.borrowed, a.share-a.used)
	if r.nonPreemptible {
		n = min(n, c.nonPreemptibleRoom(a))
	}
	return n
}

// tasks returns how many tasks of the request fit on the given number of
// accelerators and the free slots.
func (c *vmCapacity) tasks(r *request, accelerators int) int {
	if r.acceleratorsPerTask == 0 {
		return c.slots
	}
	return min(accelerators/r.acceleratorsPerTask, c.slots)
}

// reclaimTasks returns how many tasks of the request fit if borrowers of its
// organisation's own share are evicted, and, to free slots, also tasks of other
// organisations that use no accelerators. A request that needs no accelerators
// evicts nothing.
func (c *vmCapacity) reclaimTasks(r *request) int {
	if r.acceleratorsPerTask == 0 {
		return c.slots
	}
	slotOnly := max(0, c.slotOnlyTasks-c.slotOnlyEvicted-c.account(r.org).slotOnlyTasks)
	slots := c.slots + slotOnly + c.slotsFreed(c.borrowed-c.evictedForSlots)
	return max(0, min(c.reclaimRoom(r)/r.acceleratorsPerTask, slots))
}

// slotsFreed returns the least number of slots that become free if the pass
// reclaims that many accelerators in addition to those in c.evicted.
func (c *vmCapacity) slotsFreed(accelerators int) int {
	if accelerators <= 0 || c.largestTask == 0 {
		return 0
	}
	return (c.evicted+accelerators+c.largestTask-1)/c.largestTask - (c.evicted+c.largestTask-1)/c.largestTask
}

// take places tasks of the request on the VM and reports whether work of other
// organisations has to be evicted for them.
func (c *vmCapacity) take(r *request, tasks int) bool {
	accelerators := tasks * r.acceleratorsPerTask
	toReclaim, missingSlots := max(0, accelerators-c.free), max(0, tasks-c.slots)
	slotsBefore := c.slots
	c.slots += c.slotsFreed(toReclaim - c.evictedForSlots)
	c.evict(toReclaim)
	c.free += toReclaim
	if missingSlots > 0 {
		// The agent chooses whether it evicts borrowers or tasks without
		// accelerators to free these slots. So the pass does not count on either
		// of them for further slots.
		c.slotOnlyEvicted += missingSlots
		c.evictedForSlots += missingSlots * c.largestTask
		c.slots = max(c.slots, tasks)
	}
	c.reclaimedSlots += c.slots - slotsBefore
	c.free -= accelerators
	c.slots -= tasks
	change := account{used: accelerators, newPreemptible: accelerators}
	if r.nonPreemptible {
		change = account{used: accelerators, nonPreemptible: accelerators}
	}
	c.charge(r.org, change)
	if c.needsProbe {
		c.free, c.slots = 0, 0
	}
	return toReclaim > 0 || missingSlots > 0
}

// evict reclaims accelerators from borrowers, in the order of the accounts.
func (c *vmCapacity) evict(accelerators int) {
	c.evicted += accelerators
	for i := 0; i < len(c.accounts) && accelerators > 0; i++ {
		if n := min(accelerators, c.accounts[i].borrowed()); n > 0 {
			c.charge(c.accounts[i].org, account{used: -n})
			accelerators -= n
		}
	}
}
