package guarantee

// nonPreemptibleUse is the number of accelerators that non-preemptible work of
// an organisation holds on a VM. This work cannot be evicted, so a share of
// another organisation on these accelerators could not be reclaimed until the
// work ends.
type nonPreemptibleUse struct {
	// demand belongs to the organisation. It is nil if the organisation has no
	// guarantee; the uses of all such organisations are summed.
	demand       *demand
	accelerators int
}

// loadNonPreemptible sums what non-preemptible work holds on the VMs that are in
// service, that is, neither lost nor draining.
func (p *packing) loadNonPreemptible() {
	demands := make(map[string]*demand, len(p.demands))
	for _, d := range p.demands {
		demands[d.orgName] = d
	}
	for i := range p.index.VMs {
		if p.free[i] == 0 {
			continue
		}
		for k := range p.index.VMs[i].Holdings {
			if holding := &p.index.VMs[i].Holdings[k]; !holding.Preemptible && holding.Accelerators > 0 {
				p.addNonPreemptible(i, nonPreemptibleUse{demands[holding.Org], holding.Accelerators})
			}
		}
	}
}

// addNonPreemptible adds the use to the VM at position i.
func (p *packing) addNonPreemptible(i int, use nonPreemptibleUse) {
	p.overShares[i] += use.accelerators
	for k := range p.nonPreemptible[i] {
		if p.nonPreemptible[i][k].demand == use.demand {
			p.nonPreemptible[i][k].accelerators += use.accelerators
			return
		}
	}
	p.nonPreemptible[i] = append(p.nonPreemptible[i], use)
}

// beyondShare returns how many accelerators non-preemptible work of the
// organisation holds on the VM at position i beyond the organisation's share
// there.
func (p *packing) beyondShare(d *demand, i int) int {
	for _, u := range p.nonPreemptible[i] {
		if u.demand == d {
			return max(0, u.accelerators-d.partsOn[i]*d.partSize)
		}
	}
	return 0
}

// roomOnVM returns how many accelerators new parts of d may use on the VM at
// position i. If reclaimable is set, it does not count accelerators that
// non-preemptible work of other organisations holds beyond their shares.
func (p *packing) roomOnVM(d *demand, i int, reclaimable bool) int {
	if !reclaimable || p.overShares[i] == 0 || p.free[i] < d.partSize {
		return p.free[i]
	}
	return max(0, p.free[i]-p.overShares[i]+p.beyondShare(d, i))
}
