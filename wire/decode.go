package wire

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Decode decodes data, which must be exactly one JSON value, into v. It returns an
// error for an unknown field or data after the value. After an error, v must not
// be used.
func Decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("decode %T: found more bytes behind the value, allowed: one JSON value", v)
	}
	return nil
}

// Bytes decodes a field in standard base64. name is the name of the field for the
// error.
func Bytes(name, text string) ([]byte, error) {
	if text == "" {
		return nil, nil
	}
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%s: found text that is not base64 (%v), allowed: standard base64", name, err)
	}
	return b, nil
}

// Text encodes bytes in standard base64 for a field.
func Text(b []byte) string { return base64.StdEncoding.EncodeToString(b) }

// Checksum encodes an xxhash64 checksum as 16 hexadecimal digits.
func Checksum(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// ParseChecksum decodes a field that Checksum has encoded. name is the name of the
// field for the error.
func ParseChecksum(name, text string) (uint64, error) {
	sum, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("%s: found %q, allowed: 16 hexadecimal digits", name, text)
	}
	return sum, nil
}
