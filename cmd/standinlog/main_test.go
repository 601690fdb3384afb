package main

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExitCodes guards against an exit code by which a script would take wrong
// usage for success.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		args   []string
		want   int
		stderr string
	}{
		{[]string{"--help"}, 0, "EXAMPLE"},
		{[]string{"--retain-age", "soon"}, 2, "retain-age"},
		{[]string{"--appends-per-second", "0"}, 2, "appends-per-second 0"},
		{[]string{"more"}, 2, `arguments \["more"\]`},
	}
	for _, tt := range tests {
		t.Run(tt.args[0], func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			qt.Assert(t, run(tt.args, &stdout, &stderr), qt.Equals, tt.want)
			qt.Assert(t, stderr.String(), qt.Matches, `(?s).*`+tt.stderr+`.*`)
			qt.Assert(t, stdout.Len(), qt.Equals, 0)
		})
	}
}

// TestListenFails guards against a process that hangs instead of ending when
// it cannot listen.
func TestListenFails(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := make(chan int, 1)
	go func() { code <- run([]string{"--listen", "127.0.0.1:x"}, &stdout, &stderr) }()
	select {
	case got := <-code:
		qt.Assert(t, got, qt.Equals, 1)
		qt.Assert(t, stderr.String(), qt.Contains, "127.0.0.1:x")
	case <-time.After(3 * time.Second):
		t.Fatal("the command did not return within 3 s")
	}
}
