// Package org defines an organisation, which is a customer with guaranteed accelerators.
// It owns no state and takes no lock.
package org

import (
	"fmt"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
)

// Org is the configuration of an organisation.
type Org struct {
	// Name identifies the organisation. It must not be empty.
	Name string
	// Labels are matched by the selectors of operators.
	Labels map[string]string
	// Selector selects the VMs whose accelerators may be assigned to the guarantee.
	// The empty selector matches every VM.
	Selector string
	// Guarantee is the number and arrangement of accelerators that the organisation
	// can always reclaim from jobs that have borrowed them. The zero shape means
	// that nothing is guaranteed, so that the organisation only borrows.
	Guarantee shape.Shape
	// ShedRank determines whose jobs are refused first under overload: those of the
	// organisations with the highest rank. The default is 0.
	ShedRank int
}

// Check returns an error that describes the first invalid field, or nil if there is none.
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
