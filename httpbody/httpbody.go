// Package httpbody decodes the JSON bodies of the HTTP front ends and of the
// clients that read them. Its errors name the field, what was found and what
// is allowed. It owns no state and takes no lock.
package httpbody

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"celerypoint.example/celerypoint/wire"
)

// Decode reads the one JSON value of a body into v, a pointer to a wire type.
func Decode(body []byte, v any) error {
	err := wire.Decode(body, v)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		field := wrongType.Field
		if field == "" {
			field = "body"
		}
		return fmt.Errorf("%s: found a JSON %s, allowed: %s", field, wrongType.Value, kindOf(wrongType.Type))
	case errors.As(err, &syntax):
		return fmt.Errorf("body: found no valid JSON at byte %d (%w), allowed: one JSON object", syntax.Offset, syntax)
	}
	// encoding/json has no type for this error.
	if _, name, ok := strings.Cut(err.Error(), "json: unknown field "); ok {
		return fmt.Errorf("%s: found an unknown field, allowed: %s", strings.Trim(name, `"`), strings.Join(fields(reflect.TypeOf(v), ""), ", "))
	}
	return fmt.Errorf("body: found %d bytes that are not one JSON object (%w), allowed: one JSON object", len(body), err)
}

// fields lists the names of the JSON fields, those of inner objects with the
// path to them.
func fields(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, prefix+name)
		names = append(names, fields(f.Type, prefix+name+".")...)
	}
	return names
}

func kindOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}
