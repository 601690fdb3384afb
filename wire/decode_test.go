package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDecodeRejects guards against a mistyped field or a cut message being
// taken for a valid one.
func TestDecodeRejects(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", `{"attempt":"a","round":1}`, `.*unknown field "round"`},
		{"trailing bytes", `{"attempt":"a"}{}`, `.*more bytes behind the value.*`},
		{"wrong type", `{"attempt":1}`, `.*cannot unmarshal number.*attempt.*`},
		{"cut short", `{"attempt":"a"`, `.*unexpected EOF`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p ConfirmParams
			qt.Assert(t, Decode([]byte(tt.text), &p), qt.ErrorMatches, tt.want)
		})
	}
}

// FuzzDecode guards against a panic on any message from another process.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vm":"v","bootId":"b","zone":"a","rack":"r","region":"x","accelerators":8,"slots":8,"connections":64,"cpus":32,"memoryMB":1,"configOffset":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var p AnnounceParams
		if err := Decode(data, &p); err != nil {
			return
		}
		var r JobRecord
		_ = Decode(data, &r)
	})
}
