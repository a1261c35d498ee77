package gossip

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"comfreystream/coordination/membership"
	"comfreystream/state"
	"comfreystream/transport"
)

var (
	address = netip.MustParseAddrPort("10.2.0.7:7070")
	gossip  = netip.MustParseAddrPort("10.2.0.7:7071")
)

func testUpdate() membership.Update {
	return membership.Update{
		Member: state.Member{
			Address: address, Gossip: gossip, AvailabilityZone: "costa-1", Incarnation: 1_786_000_000_000,
			Advert: state.Advert{Version: 3, Generation: 41, Digest: 1 << 63},
		},
		Status: membership.Suspect,
		Age:    400 * time.Millisecond,
	}
}

func testMessages() []membership.Message {
	filter := membership.Filter{1, 2, 3, 63: 16}
	return []membership.Message{
		{Kind: membership.Ping, Sequence: 1 << 31},
		{Kind: membership.Ack, Sequence: 7, Unknown: true, Updates: []membership.Update{testUpdate(), testUpdate(), testUpdate()}},
		{Kind: membership.PingRequest, Sequence: 9, Target: netip.MustParseAddrPort("[fd00::1]:7071")},
		{Kind: membership.Push, Updates: []membership.Update{testUpdate()}},
		{Kind: membership.Compare, Sequence: 6, Filter: filter},
		{Kind: membership.Page, Sequence: 6, Filter: filter, Updates: []membership.Update{
			testUpdate(), testUpdate(), testUpdate(), testUpdate(), testUpdate(), testUpdate(),
		}},
	}
}

func TestRoundTrip(t *testing.T) {
	for _, message := range testMessages() {
		payload, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		got, reason := decode(payload)
		if reason != "" || !reflect.DeepEqual(got, message) {
			t.Errorf("%+v came back as %+v, reason %q", message, got, reason)
		}
		if len(payload) > transport.MaxDatagramBytes {
			t.Errorf("%d bytes for kind %d", len(payload), message.Kind)
		}
	}
}

func TestRefused(t *testing.T) {
	push := func(spoil func(u *wireUpdate)) wireMessage {
		u := encodeUpdate(testUpdate())
		spoil(&u)
		return wireMessage{Kind: membership.Push, Updates: []wireUpdate{u}}
	}
	tests := []struct {
		name    string
		message any
		want    string
	}{
		{"not a map", "ping", Malformed},
		{"no kind", wireMessage{}, UnknownKind},
		{"unknown kind", wireMessage{Kind: 99}, UnknownKind},
		{"short filter", wireMessage{Kind: membership.Compare, Filter: []byte{1}}, Malformed},
		{"too many updates", wireMessage{Kind: membership.Push, Updates: make([]wireUpdate, maxUpdates+1)}, Malformed},
		{"nested too deep", []any{[]any{[]any{[]any{[]any{1}}}}}, Malformed},
		{"target without address", wireMessage{Kind: membership.PingRequest}, BadAddress},
		{"multicast member", push(func(u *wireUpdate) { u.Gossip = netip.MustParseAddrPort("224.0.0.1:1") }), BadAddress},
		{"address with a name", push(func(u *wireUpdate) { u.Address = netip.MustParseAddrPort("[fe80::1%eth0]:1") }), BadAddress},
		{"no zone", push(func(u *wireUpdate) { u.Zone = "" }), BadUpdate},
		{"long zone", push(func(u *wireUpdate) { u.Zone = strings.Repeat("z", maxZoneBytes+1) }), BadUpdate},
		{"unknown status", push(func(u *wireUpdate) { u.Status = 9 }), BadUpdate},
		{"age that overflows", push(func(u *wireUpdate) { u.Age = 1 << 63 }), BadUpdate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			payload, err := cbor.Marshal(tt.message)
			if err != nil {
				t.Fatal(err)
			}
			if _, reason := decode(payload); reason != tt.want {
				t.Errorf("reason %q, want %q", reason, tt.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, message := range testMessages() {
		payload, err := encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
		f.Add(payload[:len(payload)/2])
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		message, reason := decode(payload)
		if reason != "" {
			return
		}
		again, err := encode(message)
		if err != nil {
			t.Fatalf("%+v was decoded but cannot be encoded: %v", message, err)
		}
		if got, reason := decode(again); reason != "" || got.Kind != message.Kind || !reflect.DeepEqual(got.Updates, message.Updates) {
			t.Fatalf("%+v came back as %+v, reason %q", message, got, reason)
		}
	})
}
