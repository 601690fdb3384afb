// Package gang decides the steps of one attempt to run a job whole: reserve
// on every VM, commit in the log, start, renew the lease while every member
// confirms, and release. Step takes an attempt, an event and a time, and
// returns the next attempt and the orders to carry out. It owns no state and
// takes no lock.
package gang
