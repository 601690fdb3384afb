package nbiosetup

import "github.com/lesismal/nbio/mempool"

// maxPooledBytes is the size up to which mempool's aligned allocator keeps buffers.
const maxPooledBytes = 32 << 10

// allocator allocates buffers for nbio and nbhttp. Buffers that are kept for use again are
// only used for sizes of more than half of theirs. nbio's default keeps buffers of any size in
// one pool, so that the first bytes of a request may hold a buffer of megabytes.
type allocator struct{ mempool.Allocator }

// Append implements mempool.Allocator. The aligned allocator would copy a large buffer
// whenever something is appended.
func (a allocator) Append(buf *[]byte, more ...byte) *[]byte {
	if cap(*buf) > maxPooledBytes {
		*buf = append(*buf, more...)
		return buf
	}
	return a.Allocator.Append(buf, more...)
}

// AppendString implements mempool.Allocator.
func (a allocator) AppendString(buf *[]byte, more string) *[]byte {
	if cap(*buf) > maxPooledBytes {
		*buf = append(*buf, more...)
		return buf
	}
	return a.Allocator.AppendString(buf, more)
}
