// Package admission decides whether an entry takes a request, so that what
// cannot be served in time is refused early and truthfully. It owns no state
// and takes no lock.
package admission
