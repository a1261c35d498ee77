package instancelist

import (
	"context"
	"net/netip"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	listprotocol "comfreystream/protocol/instancelist"
	"comfreystream/state"
	"comfreystream/transport"
)

var (
	worker = state.Worker{
		Address: netip.MustParseAddrPort("10.0.0.1:7000"), Rack: state.Rack{Name: "r1", AvailabilityZone: "z1", Position: 3},
		Capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128e9},
	}
	entry = state.Instance{Address: netip.MustParseAddrPort("10.0.0.2:7000"), AvailabilityZone: "z1"}
)

func TestChangesVisibleAfterLag(t *testing.T) {
	tests := []struct {
		name    string
		wait    time.Duration
		workers int
		leaving bool
	}{
		{"worker not yet visible", 0, 0, false},
		{"worker visible", 3 * time.Second, 1, false},
		{"worker visible as leaving", 5 * time.Second, 1, true},
		{"worker removed", 7 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(3 * time.Second)
				l.AddWorker(worker)
				time.AfterFunc(2*time.Second, func() { l.Leave(worker.Address) })
				time.AfterFunc(4*time.Second, func() { l.Remove(worker.Address) })
				<-time.After(tt.wait)
				synctest.Wait()
				changes, err := l.Instances(context.Background(), 0, 0)
				list := changes.Changed
				if err != nil || len(list.Workers) != tt.workers || tt.workers > 0 && list.Workers[0].Leaving != tt.leaving {
					t.Errorf("list %+v, error %v", list, err)
				}
			})
		})
	}
}

func TestListOverTCP(t *testing.T) {
	served, err := Serve(netip.MustParseAddrPort("127.0.0.1:0"), 0)
	if err != nil {
		t.Fatal(err)
	}
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() {
		if err := connections.Close(); err != nil {
			t.Error(err)
		}
		if err := served.Close(); err != nil {
			t.Error(err)
		}
	}()
	served.AddWorker(worker)
	served.AddEntry(entry)
	client := &listprotocol.Client{Connections: connections, Peer: served.Address()}
	want := state.InstanceChanges{
		Version: 2, Full: true,
		Changed: state.InstanceList{Workers: []state.Worker{worker}, Entries: []state.Instance{entry}},
	}
	if list, err := client.List(context.Background(), 0, 0); err != nil || !reflect.DeepEqual(list, want) {
		t.Errorf("full list: %+v, error %v", list, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { served.Remove(worker.Address) })
	want = state.InstanceChanges{Version: 3, Removed: []netip.AddrPort{worker.Address}}
	if list, err := client.List(context.Background(), 2, 5*time.Second); err != nil || !reflect.DeepEqual(list, want) {
		t.Errorf("after a removal: %+v, error %v", list, err)
	}
	served.SetDown(true)
	if list, err := client.List(context.Background(), 3, 0); err == nil {
		t.Errorf("list returned %+v while down, want an error", list)
	}
}
