// Package proof holds end-to-end tests of the system's invariants, such as that
// a gang does not run in part and that a non-idempotent job starts at most
// once. The tests start the real programs as processes on loopback ports, with
// a fault proxy in front of every entry and between every entry and the log.
// They inject faults and check the records of the worker runtimes against what
// callers were told. The package has test files only.
package proof
