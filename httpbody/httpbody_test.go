package httpbody

import (
	"fmt"
	"runtime"
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
	fields := func(n int) string {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf(`"f%d":1`, i)
		}
		return strings.Join(names, ",")
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
		{"as many items as are allowed", `{"rows":[` + strings.Repeat("1,", MaxItems-1) + `1]}`, ""},
		{"one more item", `{"rows":[` + strings.Repeat("1,", MaxItems) + `1]}`, `body: found a list of more than 1024 items, allowed: at most 1024`},
		{"a hundred thousand empty objects", `{"other":[` + strings.Repeat("{},", 100_000) + `{}]}`, `body: found a list of more than 1024 items, .*`},
		{"as many fields as are allowed", `{` + fields(MaxItems) + `}`, ""},
		{"one more field", `{` + fields(MaxItems+1) + `}`, `body: found an object of more than 1024 fields, allowed: at most 1024`},
		{"fields of the same name in objects beside each other", `{"other":[{"a":1},{"a":1}],"inner":{"count":1},"name":"a"}`, ""},
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

// TestRefusedBodyTakesLittleMemory guards against a body that takes many times its size before
// it is refused, so that a few clients bring a process beyond its memory.
func TestRefusedBodyTakesLittleMemory(t *testing.T) {
	const bodyBytes = 500_000
	repeat := func(text string) string { return strings.Repeat(text, bodyBytes/len(text)) }
	for name, text := range map[string]string{
		"empty objects": `{"items":[` + repeat("{},") + `{}]}`,
		"empty lists":   `{"items":[` + repeat("[],") + `[]]}`,
		"numbers":       `{"rows":[` + repeat("0,") + `0]}`,
		"rows in items": `{"items":[{"rows":[` + repeat("0,") + `0]}]}`,
	} {
		body := []byte(text)
		var v struct {
			Items []struct {
				Name  string
				Rows  []int
				Other [200]byte
			} `json:"items"`
			Rows []int `json:"rows"`
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := DecodeOpen(body, &v)
		runtime.ReadMemStats(&after)
		qt.Check(t, err, qt.IsNotNil)
		allocated := after.TotalAlloc - before.TotalAlloc
		qt.Check(t, allocated < bodyBytes/2, qt.IsTrue, qt.Commentf("%s: %d bytes", name, allocated))
	}
}

// TestWithMaxItems guards against a configuration of many queues that is refused.
func TestWithMaxItems(t *testing.T) {
	var v struct{ Rows []int }
	text := []byte(`{"rows":[` + strings.Repeat("1,", MaxItems) + `1]}`)
	qt.Assert(t, DecodeOpen(text, &v, WithMaxItems(MaxItems+1)), qt.IsNil)
	qt.Assert(t, v.Rows, qt.HasLen, MaxItems+1)
}
