// Package httpbody decodes JSON bodies of HTTP requests and responses. Its
// errors name the field, what was found and what is allowed. It owns no state
// and takes no lock.
package httpbody

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"celerypoint.example/celerypoint/wire"
)

// Decode decodes a body of exactly one JSON value into v, a pointer to a type
// of package wire. Unknown fields are an error.
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
		return fmt.Errorf("%s: found a JSON %s, allowed: %s", field, wrongType.Value, describeType(wrongType.Type))
	case errors.As(err, &syntax):
		return fmt.Errorf("body: found no valid JSON at byte %d (%w), allowed: one JSON object", syntax.Offset, syntax)
	}
	// encoding/json has no error type for an unknown field.
	if _, name, ok := strings.Cut(err.Error(), "json: unknown field "); ok {
		return fmt.Errorf("%s: found an unknown field, allowed: %s", strings.Trim(name, `"`), strings.Join(fieldNames(reflect.TypeOf(v), ""), ", "))
	}
	return fmt.Errorf("body: found %d bytes that are not one JSON object (%w), allowed: one JSON object", len(body), err)
}

// fieldNames returns the names of the JSON fields of t, including those of
// nested objects, which are written with their path, such as "org.name".
func fieldNames(t reflect.Type, prefix string) []string {
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
		names = append(names, fieldNames(f.Type, prefix+name+".")...)
	}
	return names
}

func describeType(t reflect.Type) string {
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
