package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOddSettingsFile guards against a settings file that ends a process, or is taken for a
// valid one: the file may change at any time.
func TestOddSettingsFile(t *testing.T) {
	c := qt.New(t)
	good, err := os.ReadFile("testdata/good/site-agent.ini")
	c.Assert(err, qt.IsNil)
	text := string(good)
	replace := func(from, to string) string {
		c.Assert(strings.Contains(text, from), qt.IsTrue)
		return strings.Replace(text, from, to, 1)
	}
	path := filepath.Join(t.TempDir(), "agent.ini")
	for name, odd := range map[string]string{
		"empty": "", "brackets": strings.Repeat("[", 1_000_000), "closed brackets": strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000), "zero bytes": strings.Repeat("\x00", 4096),
		"port out of range": replace(":8526", ":70000"), "port 0": replace(":8526", ":0"), "negative port": replace(":8526", ":-1"), "ports out of range": replace("7000,7015", "7000,70000"), "ports reversed": replace("7000,7015", "7015,7000"),
		"huge ports": replace("7000,7015", "1,99999999999999999999"), "stop above": replace("stopSeconds = 6", "stopSeconds = 1e300"), "stop infinite": replace("stopSeconds = 6", "stopSeconds = Inf"),
		"stop not a number": replace("stopSeconds = 6", "stopSeconds = NaN"), "stop negative": replace("stopSeconds = 6", "stopSeconds = -6"), "memory above": replace("memoryMB = 152", "memoryMB = 9223372036854775808"),
		"memory fraction": replace("memoryMB = 152", "memoryMB = 152.5"), "memory negative": replace("memoryMB = 152", "memoryMB = -152"), "key without value": replace("memoryMB = 152", "memoryMB"), "empty value": replace("memoryMB = 152", "memoryMB ="),
		"twice": replace("memoryMB = 152", "memoryMB = 152\nmemoryMB = 152"), "section twice": text + "\n[node]\nmemoryMB = 1\n", "invalid UTF-8": replace("name = side-a-1", "name = \xff"), "control character": replace("name = side-a-1", "name = a\x07b"),
		"refers to itself": replace("name = side-a-1", "name = %(name)s"), "long name": replace("name = side-a-1", "name = "+strings.Repeat("x", 2<<20)), "cut": text[:len(text)/2],
	} {
		c.Assert(os.WriteFile(path, []byte(odd), 0o600), qt.IsNil)
		_, err := LoadSiteAgent(path, nil)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
		if err != nil {
			c.Check(len(err.Error()) < 1024, qt.IsTrue, qt.Commentf("%s: %d bytes", name, len(err.Error())))
		}
	}
}
