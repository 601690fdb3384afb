package nbiosetup

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio/mempool"
)

// TestSmallBuffersTakeLittle guards against a few bytes of a client that hold a buffer of
// megabytes, which another client's request has left in the pool.
func TestSmallBuffersTakeLittle(t *testing.T) {
	c := qt.New(t)
	ApplyLimits()
	for range 100 {
		for _, size := range []int{4 << 20, 40 << 10, 3 << 10} {
			mempool.Free(mempool.Malloc(size))
			small := mempool.Malloc(10)
			c.Assert(cap(*small) < 100, qt.IsTrue, qt.Commentf("10 bytes hold %d after a buffer of %d", cap(*small), size))
			mempool.Free(small)
		}
	}
}

// TestAppend guards against appended bytes that are lost or mixed up as a buffer grows.
func TestAppend(t *testing.T) {
	c := qt.New(t)
	ApplyLimits()
	buf, want := mempool.Malloc(0), ""
	for _, piece := range []string{"a", string(make([]byte, 31)), string(make([]byte, 40<<10)), "b", string(make([]byte, 1<<20)), "c"} {
		buf = mempool.Append(buf, []byte(piece)...)
		buf = mempool.AppendString(buf, piece)
		want += piece + piece
		c.Assert(string(*buf) == want, qt.IsTrue)
	}
	mempool.Free(buf)
}
