// Package proof holds end-to-end tests of the invariants on the design page.
// They start the real programs as processes on loopback ports, with a fault
// proxy in front of every entry and of the log, disturb them, and check the
// records of the worker runtimes together with what callers were told. The
// package has test files only.
package proof
