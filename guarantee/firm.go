package guarantee

// firmUse is what non-preemptible work of an organisation holds on a VM. It
// cannot be evicted, so a share under it could not be reclaimed until it ends.
type firmUse struct {
	// of is nil for organisations that are owed nothing.
	of           *demand
	accelerators int
}

// loadFirm sums the non-preemptible work on the VMs that are in service.
func (p *packing) loadFirm() {
	demands := make(map[string]*demand, len(p.demands))
	for _, d := range p.demands {
		demands[d.name] = d
	}
	for i := range p.index.VMs {
		if p.free[i] == 0 {
			continue
		}
		for k := range p.index.VMs[i].Holdings {
			if h := &p.index.VMs[i].Holdings[k]; !h.Preemptible && h.Accelerators > 0 {
				p.addFirm(i, firmUse{demands[h.Org], h.Accelerators})
			}
		}
	}
}

func (p *packing) addFirm(i int, use firmUse) {
	p.over[i] += use.accelerators
	for k := range p.firm[i] {
		if p.firm[i][k].of == use.of {
			p.firm[i][k].accelerators += use.accelerators
			return
		}
	}
	p.firm[i] = append(p.firm[i], use)
}

// uncovered is what non-preemptible work of the organisation holds on the VM
// beyond the organisation's share there.
func (p *packing) uncovered(d *demand, i int) int {
	for _, u := range p.firm[i] {
		if u.of == d {
			return max(0, u.accelerators-d.placed[i]*d.size)
		}
	}
	return 0
}

// room is what a share of d may take on the VM. With reclaimable set, the
// accelerators under non-preemptible work of others do not count.
func (p *packing) room(d *demand, i int, reclaimable bool) int {
	if !reclaimable || p.over[i] == 0 || p.free[i] < d.size {
		return p.free[i]
	}
	return max(0, p.free[i]-p.over[i]+p.uncovered(d, i))
}
