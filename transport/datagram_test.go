package transport

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestDatagrams(t *testing.T) {
	tests := []struct {
		name    string
		payload string
		close   bool
		to      string
		wantErr string
		count   string
	}{
		{name: "small", payload: "ping"},
		{name: "largest", payload: strings.Repeat("x", MaxDatagramBytes)},
		{name: "too large", payload: strings.Repeat("x", MaxDatagramBytes+1), wantErr: "more than 1400", count: DatagramTooLarge},
		{name: "other family", payload: "ping", to: "[::1]:9", wantErr: "family", count: DatagramUnsent},
		{name: "no address", payload: "ping", to: "none", wantErr: "family", count: DatagramUnsent},
		{name: "closed", payload: "ping", close: true, wantErr: "closed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			received := make(chan string, 1)
			froms := make(chan netip.AddrPort, 1)
			receiver, err := ListenDatagrams(loopback, func(from netip.AddrPort, payload []byte) {
				received <- string(payload)
				froms <- from
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = receiver.Close() }()
			heard := &counts{}
			sender, err := ListenDatagrams(loopback, func(netip.AddrPort, []byte) {}, heard.count)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = sender.Close() }()
			if tt.close {
				if err := sender.Close(); err != nil {
					t.Fatal(err)
				}
			}
			to := receiver.Address()
			if tt.to != "" {
				to, _ = netip.ParseAddrPort(tt.to)
			}
			err = sender.Send(to, []byte(tt.payload))
			if heard.all() != tt.count {
				t.Errorf("counted %q, want %q", heard.all(), tt.count)
			}
			if tt.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), tt.wantErr) {
					t.Errorf("error %v, want one with %q", err, tt.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			select {
			case got := <-received:
				if from := <-froms; got != tt.payload || from != sender.Address() {
					t.Errorf("%d bytes from %v, want %d from %v", len(got), from, len(tt.payload), sender.Address())
				}
			case <-time.After(10 * time.Second):
				t.Error("nothing received")
			}
		})
	}
}
