package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"comfreystream/coordination/membership"
	"comfreystream/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// startEntry runs a member on loopback and returns it with its endpoint and a
// function that stops both.
func startEntry(t testing.TB, zone string, seeds []netip.AddrPort, changed chan<- struct{}) (*membership.Members, *Endpoint, func()) {
	endpoint, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		t.Fatal(err)
	}
	members := membership.New(state.Member{
		Address:          endpoint.Address(),
		Gossip:           endpoint.Address(),
		AvailabilityZone: zone,
		Incarnation:      state.IncarnationAt(time.Now()),
	}, rand.New(rand.NewPCG(1, uint64(endpoint.Address().Port()))))
	members.OnChange = func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	members.Seed(seeds)
	endpoint.Serve(members)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { members.Run(ctx) })
	return members, endpoint, func() {
		cancel()
		running.Wait()
		if err := endpoint.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestDiscoveryOverLoopback checks that two entries find each other over UDP and
// that one which leaves is removed from the other's live members.
func TestDiscoveryOverLoopback(t *testing.T) {
	changed := make(chan struct{}, 1)
	first, firstEndpoint, stopFirst := startEntry(t, "a", nil, changed)
	defer stopFirst()
	second, secondEndpoint, stopSecond := startEntry(t, "a", []netip.AddrPort{firstEndpoint.Address()}, changed)
	defer stopSecond()
	deadline := time.After(30 * time.Second)
	for len(first.Live()) < 2 || len(second.Live()) < 2 {
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("%d and %d live members, want 2", len(first.Live()), len(second.Live()))
		}
	}
	if err := second.Leave(t.Context()); err != nil {
		t.Error(err)
	}
	for len(first.Live()) > 1 {
		select {
		case <-changed:
		case <-deadline:
			t.Fatal("the member that left is still live")
		}
	}
	if traffic := secondEndpoint.Traffic(); traffic.SentMessages == 0 || traffic.ReceivedBytes == 0 {
		t.Errorf("traffic %+v, want messages sent and received", traffic)
	}
}
