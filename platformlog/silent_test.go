package platformlog

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinlog"
)

// TestTailOverSilentConnections guards against records read more than 5 s late after connections go silent.
func TestTailOverSilentConnections(t *testing.T) {
	c := qt.New(t)
	l, err := standinlog.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	proxy, err := faultproxy.New("127.0.0.1:0", strings.TrimPrefix(l.URL(), "http://"), 1)
	c.Assert(err, qt.IsNil)
	defer proxy.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	reader, writer := New("http://"+proxy.Address()), New(l.URL())
	// Reads at the same time leave several idle connections.
	var reads sync.WaitGroup
	for range 6 {
		reads.Go(func() {
			_, err := reader.Read(ctx, StreamConfig, 1, 10, 100*time.Millisecond)
			c.Check(err, qt.IsNil)
		})
	}
	reads.Wait()
	upToDate, received := make(chan struct{}, 100), make(chan struct{})
	go func() {
		_ = reader.Tail(ctx, StreamConfig, 1, func(p Page) error {
			if len(p.Records) > 0 {
				close(received)
				return context.Canceled
			}
			upToDate <- struct{}{}
			return nil
		})
	}()
	<-upToDate
	// The read of Tail waits for new records.
	time.Sleep(200 * time.Millisecond)
	proxy.Silence()
	_, err = writer.Append(ctx, StreamConfig, Record{"a", 1})
	c.Assert(err, qt.IsNil)
	stored := time.Now()
	select {
	case <-received:
		c.Check(time.Since(stored) < 5*time.Second, qt.IsTrue, qt.Commentf("read after %v", time.Since(stored)))
	case <-ctx.Done():
		c.Fatal("not read within 30 s")
	}
}
