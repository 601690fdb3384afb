package placement

// account is what one organisation is owed and holds on one VM.
type account struct {
	org int
	// share is owed to the organisation.
	share int
	// used is what its holdings use, firm what the non-preemptible ones use.
	used, firm int
	// fresh is the preemptible work that this pass has placed. The pass does
	// not reclaim it again.
	fresh int
	// loose counts preemptible tasks without accelerators.
	loose int
}

// over is the use beyond the share.
func (a account) over() int { return max(0, a.used-a.share) }

// borrowed is the preemptible use beyond the share: what others may reclaim.
func (a account) borrowed() int { return min(a.used-a.firm-a.fresh, a.over()) }

// machine is one VM's capacity during a pass.
type machine struct {
	usable bool
	// probed says that the VM was set aside and takes one task to probe it.
	probed bool
	// free is the number of accelerators and slots the number of tasks that
	// fit; both are 0 when the VM is not usable.
	free, slots int
	// unowed is the number of accelerators that no organisation is owed.
	unowed int
	// over and firmOver sum the use beyond the shares, of all work and of the
	// non-preemptible work.
	over, firmOver int
	// borrowed sums what may be reclaimed.
	borrowed int
	// loose sums the preemptible tasks without accelerators, and looseGone
	// those of them that the pass may have evicted.
	loose, looseGone int
	// widest is the most accelerators that one preemptible task holds.
	widest int
	// evicted is the number of accelerators that the pass reclaims, slotsWon
	// the number of slots.
	evicted, slotsWon int
	// unsure bounds the borrowed accelerators that the agent may evict for the
	// sake of slots. They can still be had, but win no more slots.
	unsure   int
	accounts []account
}

func (m *machine) account(org int) account {
	for _, a := range m.accounts {
		if a.org == org {
			return a
		}
	}
	return account{org: org}
}

// charge changes an organisation's account and the sums over the accounts.
func (m *machine) charge(org int, by account) {
	at := -1
	for i := range m.accounts {
		if m.accounts[i].org == org {
			at = i
		}
	}
	if at < 0 {
		m.accounts = append(m.accounts, account{org: org})
		at = len(m.accounts) - 1
	}
	a := &m.accounts[at]
	m.over -= a.over()
	m.firmOver -= max(0, a.firm-a.share)
	m.borrowed -= a.borrowed()
	a.share += by.share
	a.used += by.used
	a.firm += by.firm
	a.fresh += by.fresh
	a.loose += by.loose
	m.loose += by.loose
	m.over += a.over()
	m.firmOver += max(0, a.firm-a.share)
	m.borrowed += a.borrowed()
}

// firmRoom is the number of accelerators that non-preemptible work of the
// organisation may hold in addition: its own share and what nobody is owed.
func (m *machine) firmRoom(a account) int {
	return max(0, a.share-a.firm) + max(0, m.unowed-m.firmOver)
}

// ownRoom is the number of free accelerators within the organisation's own
// share and what nobody is owed; home are those within the share.
func (m *machine) ownRoom(r *request) (own, home int) {
	a := m.account(r.org)
	if r.firm {
		return min(m.free, m.firmRoom(a)), min(m.free, a.share-a.firm)
	}
	return min(m.free, max(0, a.share-a.used)+max(0, m.unowed-m.over)), min(m.free, a.share-a.used)
}

// reclaimRoom is the number of accelerators when borrowers on the
// organisation's own share are evicted.
func (m *machine) reclaimRoom(r *request) int {
	a := m.account(r.org)
	n := min(m.free+m.borrowed, a.share-a.used)
	if r.firm {
		n = min(n, m.firmRoom(a))
	}
	return n
}

// tasks turns accelerators into tasks.
func (m *machine) tasks(r *request, accelerators int) int {
	if r.size == 0 {
		return m.slots
	}
	return min(accelerators/r.size, m.slots)
}

// reclaimTasks is the number of tasks when borrowers on the organisation's own
// share are evicted, and tasks without accelerators for the sake of their slots.
func (m *machine) reclaimTasks(r *request) int {
	if r.size == 0 {
		return m.slots
	}
	loose := max(0, m.loose-m.looseGone-m.account(r.org).loose)
	slots := m.slots + loose + m.slotsFreed(m.borrowed-m.unsure)
	return max(0, min(m.reclaimRoom(r)/r.size, slots))
}

// slotsFreed is the least number of slots that come free when the pass
// reclaims more accelerators on top of those it has reclaimed already.
func (m *machine) slotsFreed(accelerators int) int {
	if accelerators <= 0 || m.widest == 0 {
		return 0
	}
	return (m.evicted+accelerators+m.widest-1)/m.widest - (m.evicted+m.widest-1)/m.widest
}

// take places tasks and reports whether borrowers have to be evicted.
func (m *machine) take(r *request, tasks int) bool {
	n := tasks * r.size
	beyond, missing := max(0, n-m.free), max(0, tasks-m.slots)
	slots := m.slots
	m.slots += m.slotsFreed(beyond - m.unsure)
	m.evict(beyond)
	m.free += beyond
	if missing > 0 {
		// Whether borrowers or tasks without accelerators make room is the
		// agent's choice, so neither win more slots.
		m.looseGone += missing
		m.unsure += missing * m.widest
		m.slots = max(m.slots, tasks)
	}
	m.slotsWon += m.slots - slots
	m.free -= n
	m.slots -= tasks
	by := account{used: n, fresh: n}
	if r.firm {
		by = account{used: n, firm: n}
	}
	m.charge(r.org, by)
	if m.probed {
		m.free, m.slots = 0, 0
	}
	return beyond > 0 || missing > 0
}

func (m *machine) evict(accelerators int) {
	m.evicted += accelerators
	for i := 0; i < len(m.accounts) && accelerators > 0; i++ {
		if n := min(accelerators, m.accounts[i].borrowed()); n > 0 {
			m.charge(m.accounts[i].org, account{used: -n})
			accelerators -= n
		}
	}
}
