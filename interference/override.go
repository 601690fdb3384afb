package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Decision says what an operator wants for tasks of two kinds.
type Decision string

const (
	// KeepApart keeps them on different VMs where there is room.
	KeepApart Decision = "apart"
	// AllowTogether takes no account of what they do to each other.
	AllowTogether Decision = "together"
)

// Override is an operator's decision, which goes before what a Model has learned.
type Override struct {
	// Kinds are in increasing order and may be equal.
	Kinds    [2]string
	Decision Decision
}

// NewOverride returns the decision about two kinds in any order.
func NewOverride(a, b string, d Decision) Override {
	return Override{Kinds: unordered(a, b), Decision: d}
}

func unordered(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// SetOverrides replaces all overrides. What was learned is kept.
func (m *Model) SetOverrides(all []Override) {
	m.overrides = map[[2]string]Decision{}
	for _, o := range all {
		m.overrides[o.Kinds] = o.Decision
	}
}

// Apart reports whether tasks of the two kinds are to be kept on different VMs: an operator
// has decided so, or one is known to slow the other down and no operator allows both together.
func (m *Model) Apart(a, b string) bool {
	switch m.overrides[unordered(a, b)] {
	case KeepApart:
		return true
	case AllowTogether:
		return false
	}
	return m.Slowdown(a, b) > 1 || m.Slowdown(b, a) > 1
}

// SeparatesNothing reports whether Apart is false for all kinds.
func (m *Model) SeparatesNothing() bool {
	if len(m.slowed) > 0 {
		return false
	}
	for _, d := range m.overrides {
		if d == KeepApart {
			return false
		}
	}
	return true
}

// Finding is a slowdown that is known, with the evidence for it.
type Finding struct {
	Slowed, By string
	Factor     float64
	// Since is the time of the observation with which it became known.
	Since time.Time
	// Beside and Alone are the weights of the observations with and without a task of the
	// other kind; each new one lessens that of the earlier ones.
	Beside, Alone float64
	// StandardErrors is the distance of the two means in standard errors, +Inf if neither
	// sample varies.
	StandardErrors float64
	// Override is an operator's decision about the two kinds, empty if there is none.
	Override Decision
}

// Findings lists the known slowdowns by their kinds.
func (m *Model) Findings() []Finding {
	var all []Finding
	for p, factor := range m.slowed {
		c := m.pairs[p]
		all = append(all, Finding{
			Slowed: p.slowed, By: p.other, Factor: factor, Since: m.since[p], Beside: c.with.weight, Alone: c.without.weight,
			StandardErrors: (c.with.mean() - c.without.mean()) / math.Sqrt(c.with.squaredError()+c.without.squaredError()),
			Override:       m.overrides[unordered(p.slowed, p.other)],
		})
	}
	slices.SortFunc(all, func(x, y Finding) int { return cmp.Or(cmp.Compare(x.Slowed, y.Slowed), cmp.Compare(x.By, y.By)) })
	return all
}
