// Package wire holds the types of every message, HTTP body and log record,
// generated from schema.json. Decode is the only way in: it refuses unknown
// fields and trailing bytes. The package owns no state and takes no lock.
package wire

//go:generate go tool go-jsonschema --only-models --disable-custom-types-for-maps --tags json --capitalization ID,VM,VMs,CPUs -p wire -o wire.go schema.json
