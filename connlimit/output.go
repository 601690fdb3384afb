package connlimit

import "sync"

// Output counts the bytes that one connection has sent and the kernel has not taken yet as held
// bytes of a Table. Its mutex is taken before that of the table.
type Output struct {
	table *Table
	id    uint64

	mu sync.Mutex
	// unsent is the number of bytes that the kernel has not taken. counted is what the table
	// counts of them; it is lower while bytes are being sent, which mostly succeeds at once.
	unsent, counted int64
}

// NewOutput returns the output of a connection that is in the table.
func NewOutput(t *Table, id uint64) *Output { return &Output{table: t, id: id} }

// Queue notes that n bytes are being sent. Count has to follow.
func (o *Output) Queue(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsent += int64(n)
}

// Count counts what has been queued and not been sent. This may close connections, so that no
// lock of one may be held. It returns false if this connection is closed.
func (o *Output) Count() bool {
	o.mu.Lock()
	delta := max(0, o.unsent-o.counted)
	o.counted += delta
	o.mu.Unlock()
	return delta == 0 || o.table.Hold(o.id, delta)
}

// Sent notes that the kernel has taken n bytes. It closes no connection.
func (o *Output) Sent(n int) {
	o.mu.Lock()
	o.unsent -= int64(n)
	delta := min(0, o.unsent-o.counted)
	o.counted += delta
	o.mu.Unlock()
	if delta != 0 {
		o.table.Hold(o.id, delta)
	}
}
