// Package admission decides whether an entry process accepts a request, so that
// a request that cannot be served in time is refused early and with the true
// reason. It owns no state and takes no lock.
package admission
