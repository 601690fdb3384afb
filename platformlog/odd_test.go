package platformlog

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOddRecordHidesNoOther guards against one odd record of another writer that each reader
// of the stream stops at for ever.
func TestOddRecordHidesNoOther(t *testing.T) {
	c := qt.New(t)
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	for _, odd := range []string{
		`{"offset":2,"id":"b","body":{"kind":1e999}}`, `{"offset":2,"id":"b","body":1e999}`, `{"offset":2,"id":"b","body":` + nested(9000) + `}`, `{"offset":2,"id":7,"body":{}}`, `{"offset":2,"id":"b","body":{},"other":1}`,
		`{"offset":1e30,"id":"b","body":{}}`, `{"offset":"2","id":"b","body":{}}`, `{"offset":-2,"id":"b","body":{}}`, `{"offset":9000000000000000,"id":"b","body":{}}`, `{"id":"b","body":{}}`, `{}`, `null`, `7`, `[]`,
	} {
		page := fmt.Sprintf(`{"oldest":1,"next":4,"records":[{"offset":1,"id":"a","body":{}},%s,{"offset":3,"id":"c","body":{}}]}`, odd)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) }))
		p, err := New(server.URL).Read(context.Background(), StreamConfig, 1, 10, 0)
		server.Close()
		c.Check(err, qt.IsNil, qt.Commentf("%.80s", odd))
		if err != nil {
			continue
		}
		c.Assert(p.Records, qt.HasLen, 3)
		c.Check([]string{p.Records[0].ID, p.Records[2].ID}, qt.DeepEquals, []string{"a", "c"})
		c.Check([]int{p.Records[0].Offset, p.Records[1].Offset, p.Records[2].Offset}, qt.DeepEquals, []int{1, 2, 3}, qt.Commentf("%.80s", odd))
		_, err = ParseConfig(p.Records[1])
		c.Check(err, qt.IsNotNil)
	}
}
