// Package wire defines the types of all messages, HTTP bodies and log records. They
// are generated from schema.json. Received values of these types are decoded with
// Decode, which rejects unknown fields and trailing data. The package owns no state
// and takes no lock.
package wire

//go:generate go tool go-jsonschema --only-models --disable-custom-types-for-maps --tags json --capitalization ID,VM,VMs,CPUs -p wire -o wire.go schema.json
