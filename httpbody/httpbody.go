// Package httpbody decodes JSON bodies of HTTP requests and responses. Its
// errors name the field, what was found and what is allowed. It owns no state
// and takes no lock.
package httpbody

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"celerypoint.example/celerypoint/wire"
)

// Decode decodes a body of exactly one JSON value into v, a pointer to a type
// of package wire. Unknown fields are an error.
func Decode(body []byte, v any) error {
	if err := wire.Decode(body, v); err != nil {
		return describe(err, body, v)
	}
	return nil
}

// MaxDepth bounds how deeply the values of a body that DecodeOpen decodes are nested.
const MaxDepth = 16

// MaxItems bounds the items of each list and the fields of each object of a body that
// DecodeOpen decodes, unless WithMaxItems is given. An item of three bytes can take a hundred
// times as much memory once it is decoded.
const MaxItems = 1024

// limits bounds the structure of a body.
type limits struct{ maxItems int }

// Option changes how DecodeOpen decodes.
type Option func(*limits)

// WithMaxItems replaces MaxItems.
func WithMaxItems(n int) Option { return func(l *limits) { l.maxItems = n } }

// DecodeOpen decodes a body of exactly one JSON value into v, a pointer. It ignores
// unknown fields, which a peer of a later version may send. Text that is not UTF-8,
// values that are nested more deeply than MaxDepth, lists and objects with more than MaxItems
// items, and a field that occurs twice in one object are errors. They are found before
// anything is decoded, so that a body that is refused takes little more memory than its bytes.
func DecodeOpen(body []byte, v any, options ...Option) error {
	l := limits{maxItems: MaxItems}
	for _, o := range options {
		o(&l)
	}
	if !utf8.Valid(body) {
		return fmt.Errorf("body: found %d bytes that are not UTF-8, allowed: UTF-8", len(body))
	}
	if err := l.checkStructure(body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return describe(err, body, v)
	}
	return nil
}

// scope is an open object or list of a body.
type scope struct {
	// names holds the field names of an object so far, in lower case. It is nil in a list.
	names map[string]bool
	// items counts the items of a list so far.
	items int
}

// checkStructure reports excessive nesting, too many items and repeated fields. It reports no
// syntax error.
func (l limits) checkStructure(body []byte) error {
	var open []scope
	// names holds the maps of objects that have been closed.
	var names []map[string]bool
	// isName is true where the next token of an object is a field name.
	isName := false
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	for {
		token, err := d.Token()
		if err != nil {
			return nil
		}
		n := len(open)
		closing := token == json.Delim('}') || token == json.Delim(']')
		if n > 0 && open[n-1].names == nil && !closing {
			if open[n-1].items++; open[n-1].items > l.maxItems {
				return fmt.Errorf("body: found a list of more than %d items, allowed: at most %d", l.maxItems, l.maxItems)
			}
		}
		switch token := token.(type) {
		case json.Delim:
			switch token {
			case '{':
				var s scope
				if k := len(names); k > 0 {
					s.names, names = names[k-1], names[:k-1]
				} else {
					s.names = map[string]bool{}
				}
				open = append(open, s)
			case '[':
				open = append(open, scope{})
			default:
				if closed := open[n-1].names; closed != nil {
					clear(closed)
					names = append(names, closed)
				}
				open = open[:n-1]
			}
			if len(open) > MaxDepth {
				return fmt.Errorf("body: found values nested more than %d deep, allowed: at most %d", MaxDepth, MaxDepth)
			}
		case string:
			if isName {
				if err := l.addName(open[n-1].names, token); err != nil {
					return err
				}
				isName = false
				continue
			}
		}
		isName = len(open) > 0 && open[len(open)-1].names != nil
	}
}

// addName adds the name of a field to those of its object.
func (l limits) addName(names map[string]bool, name string) error {
	// encoding/json ignores the case of field names.
	lower := strings.ToLower(name)
	switch {
	case names[lower]:
		return fmt.Errorf("%.64s: found twice, allowed: once", name)
	case len(names) == l.maxItems:
		return fmt.Errorf("body: found an object of more than %d fields, allowed: at most %d", l.maxItems, l.maxItems)
	}
	names[lower] = true
	return nil
}

// describe returns the error of decoding body into v in the words of this package.
func describe(err error, body []byte, v any) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		field := wrongType.Field
		if field == "" {
			field = "body"
		}
		return fmt.Errorf("%.80s: found a JSON %.80s, allowed: %s", field, wrongType.Value, describeType(wrongType.Type))
	case errors.As(err, &syntax):
		return fmt.Errorf("body: found no valid JSON at byte %d (%w), allowed: one JSON object", syntax.Offset, syntax)
	}
	// encoding/json has no error type for an unknown field.
	if _, name, ok := strings.Cut(err.Error(), "json: unknown field "); ok {
		return fmt.Errorf("%.80s: found an unknown field, allowed: %s", strings.Trim(name, `"`), strings.Join(fieldNames(reflect.TypeOf(v), ""), ", "))
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
		return "a whole number of at most 64 bits"
	case reflect.Float64:
		return "a number"
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
