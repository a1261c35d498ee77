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

func sampleUpdate() membership.Update {
	return membership.Update{
		Member: state.Member{
			Address: address, Gossip: gossip, AvailabilityZone: "costa-1", Incarnation: 1_786_000_000_000,
			Advert: state.Advert{Version: 3, Generation: 41, Digest: 1 << 63},
		},
		Status: membership.Suspect,
		Age:    400 * time.Millisecond,
	}
}

func sampleMessages() []membership.Message {
	filter := membership.Filter{1, 2, 3, 63: 16}
	return []membership.Message{
		{Kind: membership.Ping, Sequence: 1 << 31},
		{Kind: membership.Ack, Sequence: 7, Unknown: true, Updates: []membership.Update{sampleUpdate(), sampleUpdate(), sampleUpdate()}},
		{Kind: membership.PingRequest, Sequence: 9, Target: netip.MustParseAddrPort("[fd00::1]:7071")},
		{Kind: membership.Push, Updates: []membership.Update{sampleUpdate()}},
		{Kind: membership.Compare, Sequence: 6, Filter: filter},
		{Kind: membership.Page, Sequence: 6, Filter: filter, Updates: []membership.Update{
			sampleUpdate(), sampleUpdate(), sampleUpdate(), sampleUpdate(), sampleUpdate(), sampleUpdate(),
		}},
	}
}

// TestRoundTrip checks that each kind of message decodes to what was encoded and
// fits into a datagram.
func TestRoundTrip(t *testing.T) {
	for _, message := range sampleMessages() {
		payload, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		got, reason := decode(payload)
		if reason != "" || !reflect.DeepEqual(got, message) {
			t.Errorf("%+v decoded as %+v, reason %q", message, got, reason)
		}
		if len(payload) > transport.MaxDatagramBytes {
			t.Errorf("%d bytes for kind %d do not fit into a datagram", len(payload), message.Kind)
		}
	}
}

func TestDecodeRefusesInvalidMessages(t *testing.T) {
	push := func(corrupt func(u *wireUpdate)) wireMessage {
		u := encodeUpdate(sampleUpdate())
		corrupt(&u)
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
		{"address with an IPv6 zone name", push(func(u *wireUpdate) { u.Address = netip.MustParseAddrPort("[fe80::1%eth0]:1") }), BadAddress},
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

// FuzzDecode checks that each message that decodes can be encoded again without a
// change in its kind or updates.
func FuzzDecode(f *testing.F) {
	for _, message := range sampleMessages() {
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
		encoded, err := encode(message)
		if err != nil {
			t.Fatalf("%+v was decoded but cannot be encoded: %v", message, err)
		}
		if got, reason := decode(encoded); reason != "" || got.Kind != message.Kind || !reflect.DeepEqual(got.Updates, message.Updates) {
			t.Fatalf("%+v decoded as %+v, reason %q", message, got, reason)
		}
	})
}
