package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// observe draws an observation of a run of kind a: half of them are beside b, all beside c.
func observe(r *rand.Rand, m *Model, i int, slowdown, noise float64) []Change {
	o := Observation{Kind: "a", Job: fmt.Sprint(i / 4), VM: fmt.Sprint(i % 3), Beside: []string{"c"}, Slowness: noise * r.NormFloat64()}
	if r.IntN(2) == 0 {
		o.Beside = append(o.Beside, "b")
		o.Slowness += math.Log(slowdown)
	}
	return m.Observe(o)
}

// TestSlowdownIsFound guards against missing a pair that costs a third of the speed under the
// usual noise of progress, and against blaming a kind that is always there.
func TestSlowdownIsFound(t *testing.T) {
	c := qt.New(t)
	r, m := rand.New(rand.NewPCG(1, 1)), New()
	for i := range 200 {
		observe(r, m, i, 1.5, 0.2)
	}
	c.Check(m.Slowdown("a", "b") > 1.3 && m.Slowdown("a", "b") < 1.7, qt.IsTrue, qt.Commentf("%.2f", m.Slowdown("a", "b")))
	c.Check(m.Slowdown("a", "c"), qt.Equals, 1.0)
	c.Check(m.Slowdown("b", "a"), qt.Equals, 1.0)
	c.Check(m.Known(), qt.Equals, 1)
}

// TestNoiseIsNoSlowdown guards against keeping tasks apart because of chance: with 30 pairs that
// do not disturb each other, none may be found in several thousand observations.
func TestNoiseIsNoSlowdown(t *testing.T) {
	r, m := rand.New(rand.NewPCG(2, 1)), New()
	for i := range 6000 {
		o := Observation{Kind: fmt.Sprint(r.IntN(6)), Job: fmt.Sprint(i / 4), VM: fmt.Sprint(i % 3), Slowness: 0.2 * r.NormFloat64()}
		for k := range 5 {
			if r.IntN(2) == 0 {
				o.Beside = append(o.Beside, fmt.Sprint(k))
			}
		}
		for _, change := range m.Observe(o) {
			t.Errorf("observation %d: %+v", i, change)
		}
	}
}

// TestSlowdownIsForgotten guards against keeping tasks apart for good after what slowed them
// down has ended.
func TestSlowdownIsForgotten(t *testing.T) {
	c := qt.New(t)
	r, m := rand.New(rand.NewPCG(3, 1)), New()
	for i := range 200 {
		observe(r, m, i, 1.5, 0.2)
	}
	c.Assert(m.Known(), qt.Equals, 1)
	cleared := 0
	for i := range 600 {
		for _, change := range observe(r, m, 1000+i, 1, 0.2) {
			if change.Factor == 1 {
				cleared++
			}
		}
	}
	c.Check(cleared, qt.Equals, 1)
	c.Check(m.Known(), qt.Equals, 0)
}

// TestOneOddJob guards against blaming a neighbour for the slowness of one job.
func TestOneOddJob(t *testing.T) {
	m := New()
	for i := range 300 {
		m.Observe(Observation{Kind: "a", Job: fmt.Sprint(i), VM: fmt.Sprint(i % 3), Slowness: 0.01})
		m.Observe(Observation{Kind: "a", Job: "odd", VM: fmt.Sprint(i % 3), Beside: []string{"b"}, Slowness: 1})
	}
	qt.Check(t, m.Known(), qt.Equals, 0)
}

// TestOneSlowVM guards against blaming a neighbour for the slowness of the only VM on which it
// was seen.
func TestOneSlowVM(t *testing.T) {
	m := New()
	for i := range 300 {
		m.Observe(Observation{Kind: "a", Job: fmt.Sprint(i), VM: fmt.Sprint(i % 3), Slowness: 0.01})
		m.Observe(Observation{Kind: "a", Job: fmt.Sprint(i), VM: "slow", Beside: []string{"b"}, Slowness: 1})
	}
	qt.Check(t, m.Known(), qt.Equals, 0)
}

// TestRates guards against a model that finds a planted slowdown only after more observations
// than its sums cover, or slowdowns in more than one of 100 pairs that have none.
func TestRates(t *testing.T) {
	c := qt.New(t)
	var needed []int
	for seed := range uint64(200) {
		r, m := rand.New(rand.NewPCG(seed, 5)), New()
		for i := 0; m.Known() == 0 && i < 1000; i++ {
			observe(r, m, i, 1.5, 0.2)
			if m.Known() > 0 {
				needed = append(needed, i+1)
			}
		}
		c.Check(m.Slowdown("a", "b") > 1, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
	slices.Sort(needed)
	c.Assert(needed, qt.HasLen, 200)
	found := 0
	for seed := range uint64(1000) {
		r, m := rand.New(rand.NewPCG(seed, 6)), New()
		for i := range 500 {
			for _, change := range observe(r, m, i, 1, 0.2) {
				if change.Factor > 1 {
					found++
				}
			}
		}
	}
	t.Logf("found after %d observations in half of the seeds, %d in 95 of 100, %d at most; %d false findings in 1000 pairs of 500 observations", needed[100], needed[190], needed[199], found)
	c.Check(needed[190] <= memory, qt.IsTrue, qt.Commentf("%d", needed[190]))
	c.Check(found <= 10, qt.IsTrue, qt.Commentf("%d", found))
}

// TestBounds guards against memory that grows with the number of images, and against
// observations that are not numbers.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	m := New()
	for i := range 1000 {
		m.Observe(Observation{Kind: fmt.Sprint(i), Job: "j", Beside: []string{fmt.Sprint(-i)}, Slowness: math.Inf(1)})
	}
	m.Observe(Observation{Kind: "0", Job: "j", Slowness: math.NaN()})
	c.Check(len(m.kinds) <= maxKinds, qt.IsTrue)
	c.Check(len(m.pairs) <= maxKinds*maxKinds, qt.IsTrue)
	for _, p := range m.pairs {
		c.Check(math.IsNaN(p.with.value+p.without.value), qt.IsFalse)
	}
}

// TestNewKindsAreLearned guards against a model that is full of kinds which are no longer
// there, and learns nothing of new ones.
func TestNewKindsAreLearned(t *testing.T) {
	m := New()
	for i := range 3 * maxKinds {
		m.Observe(Observation{Kind: fmt.Sprint("old", i), Job: "j"})
	}
	r := rand.New(rand.NewPCG(4, 1))
	for i := range 200 {
		observe(r, m, i, 1.5, 0.2)
	}
	qt.Check(t, m.Slowdown("a", "b") > 1.3, qt.IsTrue, qt.Commentf("%.2f", m.Slowdown("a", "b")))
}

// TestOverrides guards against an operator's decision that what was learned overrules, and
// against one that stays after it was taken back.
func TestOverrides(t *testing.T) {
	c := qt.New(t)
	r, m := rand.New(rand.NewPCG(5, 1)), New()
	c.Check(m.SeparatesNothing(), qt.IsTrue)
	for i := range 200 {
		observe(r, m, i, 1.5, 0.2)
	}
	c.Assert(m.Apart("b", "a"), qt.IsTrue)
	m.SetOverrides([]Override{NewOverride("b", "a", AllowTogether), NewOverride("x", "x", KeepApart)})
	c.Check(m.Apart("a", "b"), qt.IsFalse)
	c.Check(m.Apart("x", "x"), qt.IsTrue)
	c.Check(m.Apart("x", "a"), qt.IsFalse)
	c.Check(m.Findings()[0].Override, qt.Equals, AllowTogether)
	m.SetOverrides(nil)
	c.Check(m.Apart("a", "b"), qt.IsTrue)
	c.Check(m.Apart("x", "x"), qt.IsFalse)
}

// TestFindings guards against findings without the evidence for them, and with the time of a
// later observation than the first that decided.
func TestFindings(t *testing.T) {
	c := qt.New(t)
	r, m := rand.New(rand.NewPCG(6, 1)), New()
	start := time.Unix(1, 0)
	var foundAt time.Time
	for i := range 200 {
		o := Observation{Kind: "a", Job: fmt.Sprint(i), VM: fmt.Sprint(i % 3), At: start.Add(time.Duration(i) * time.Second), Slowness: 0.1 * r.NormFloat64()}
		if i%2 == 0 {
			o.Beside, o.Slowness = []string{"b"}, o.Slowness+0.4
		}
		if len(m.Observe(o)) > 0 {
			foundAt = o.At
		}
	}
	found := m.Findings()
	c.Assert(found, qt.HasLen, 1)
	c.Check(found[0].Since, qt.Equals, foundAt)
	c.Check(found[0].StandardErrors > minSignificance, qt.IsTrue)
	c.Check(found[0].Beside > 30 && found[0].Alone > 30, qt.IsTrue, qt.Commentf("%+v", found[0]))
}
