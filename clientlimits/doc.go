// Package clientlimits tests that the system's processes stay within their memory and
// their descriptors whatever their clients send, and that they still answer an ordinary
// request meanwhile. The real programs run as separate processes, one at a time, with
// stand-ins for the platform's services inside the test. A crowd of connections sends input
// without end, holds unfinished input, or reads no answers:
//
//	go test -count=1 ./clientlimits
//	go test -count=1 ./clientlimits -run 'TestMemory/entryClient/headerLines'
//
// The bound of the memory is memoryMB of the process's own settings. No check depends on
// how fast the machine is.
package clientlimits
