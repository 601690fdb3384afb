package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/vm"
)

// TestBootIDOfConnection guards against one agent's reply under another's boot ID.
func TestBootIDOfConnection(t *testing.T) {
	engine, err := rpc.New(func(*rpc.Request) {}, rpc.WithListen("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(engine.Close)
	boots := map[*rpc.Conn]string{}
	var states []vmState
	for _, boot := range []string{"first", "second"} {
		conn, err := engine.Dial(t.Context(), engine.Address())
		qt.Assert(t, err, qt.IsNil)
		boots[conn] = boot
		states = append(states, vmState{vm: vm.VM{BootID: boot}, conn: conn})
	}
	d := &Daemon{vms: vmTable{byID: map[string]*vmState{"v1": &states[0]}}}
	done := make(chan struct{})
	defer func() { <-done }()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			d.vms.mu.Lock()
			d.vms.byID["v1"] = &states[i%2]
			d.vms.mu.Unlock()
		}
	}()
	for range 200_000 {
		conn, boot := d.agentProcess("v1")
		qt.Assert(t, boot, qt.Equals, boots[conn])
	}
}
