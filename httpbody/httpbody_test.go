package httpbody

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDecodeOpenOddBodies guards against an odd body that is taken for a valid one, and
// against an error that does not name the field or grows with the body.
func TestDecodeOpenOddBodies(t *testing.T) {
	type body struct {
		Name  string `json:"name"`
		Inner struct {
			Count int64   `json:"count"`
			Share float64 `json:"share"`
		} `json:"inner"`
		Rows []int `json:"rows"`
	}
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	for _, test := range []struct{ name, text, want string }{
		{"unknown fields", `{"name":"a","other":{"name":[{"name":1},{"name":2}]},"inner":{"count":1,"share":0.5}}`, ""},
		{"the deepest allowed", `{"other":` + nested(MaxDepth-1) + `}`, ""},
		{"one deeper", `{"other":` + nested(MaxDepth) + `}`, `body: found values nested more than 16 deep, allowed: at most 16`},
		{"a million brackets", `{"other":` + nested(1_000_000) + `}`, `body: found values nested more than 16 deep, .*`},
		{"a million open brackets", strings.Repeat("[", 1_000_000), `body: found values nested more than 16 deep, .*`},
		{"a million open objects", strings.Repeat(`{"a":`, 1_000_000), `body: found values nested more than 16 deep, .*`},
		{"a repeated field", `{"name":"a","name":"b"}`, `name: found twice, allowed: once`},
		{"a repeated field in another case", `{"inner":{"count":1,"COUNT":2}}`, `COUNT: found twice, allowed: once`},
		{"a number above int64", `{"inner":{"count":9223372036854775808}}`, `inner.count: found a JSON number 9223372036854775808, allowed: a whole number of at most 64 bits`},
		{"a number above float64", `{"inner":{"share":1e400}}`, `inner.share: found a JSON number 1e400, allowed: a number`},
		{"a fraction", `{"inner":{"count":1.5}}`, `inner.count: found a JSON number 1.5, allowed: a whole number of at most 64 bits`},
		{"a long number", `{"inner":{"count":` + strings.Repeat("9", 100_000) + `}}`, `inner.count: found a JSON number 9+, allowed: .*`},
		{"another type", `{"name":[]}`, `name: found a JSON array, allowed: text`},
		{"invalid UTF-8", "{\"name\":\"\xff\"}", `body: found 12 bytes that are not UTF-8, allowed: UTF-8`},
		{"a second value", `{} {}`, `body: found no valid JSON at byte 4 .*`},
		{"cut short", `{"name":"a"`, `body: found no valid JSON at byte 11 .*`},
		{"empty", ``, `body: found no valid JSON at byte 0 .*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var b body
			err := DecodeOpen([]byte(test.text), &b)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(len(err.Error()) < 300, qt.IsTrue, qt.Commentf("%d bytes", len(err.Error())))
		})
	}
}

// TestDecodeErrorSize guards against an answer that repeats a huge unknown field.
func TestDecodeErrorSize(t *testing.T) {
	var v struct {
		A int `json:"a"`
	}
	err := Decode(fmt.Appendf(nil, `{"%s":1}`, strings.Repeat("x", 1<<20)), &v)
	qt.Assert(t, err, qt.ErrorMatches, "x{80}: found an unknown field, allowed: a")
}
