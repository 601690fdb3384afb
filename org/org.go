// Package org holds an organisation: a customer with a guaranteed shape of
// accelerators. It owns no state and takes no lock.
package org

import (
	"fmt"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
)

// Org is an organisation as the configuration describes it.
type Org struct {
	// Name identifies the organisation. It is never empty.
	Name string
	// Labels are matched by the selectors of operators.
	Labels map[string]string
	// Selector says which VMs may hold the guaranteed shape. The empty
	// selector matches every VM.
	Selector string
	// Guarantee is the shape that the organisation can always reclaim. The
	// zero shape means that it is owed nothing and only borrows.
	Guarantee shape.Shape
	// ShedRank orders organisations when work has to be shed: work of the
	// highest rank is refused first. The default is 0.
	ShedRank int
}

// Check reports what is wrong with the organisation, or nil.
func (o Org) Check() error {
	if o.Name == "" {
		return fmt.Errorf("organisation: name is empty")
	}
	if _, err := selector.Parse(o.Selector); err != nil {
		return fmt.Errorf("organisation %s: %w", o.Name, err)
	}
	if err := o.Guarantee.Check(); err != nil {
		return fmt.Errorf("organisation %s: %w", o.Name, err)
	}
	return nil
}
