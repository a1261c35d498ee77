package transport

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestDatagrams(t *testing.T) {
	tests := []struct {
		name        string
		payload     string
		close       bool
		to          string
		wantErr     string
		wantCounted string
	}{
		{name: "small", payload: "ping"},
		{name: "maximum size", payload: strings.Repeat("x", MaxDatagramBytes)},
		{name: "too large", payload: strings.Repeat("x", MaxDatagramBytes+1), wantErr: "more than 1400", wantCounted: DatagramTooLarge},
		{name: "other address family", payload: "ping", to: "[::1]:9", wantErr: "family", wantCounted: DatagramUnsent},
		{name: "invalid address", payload: "ping", to: "none", wantErr: "family", wantCounted: DatagramUnsent},
		{name: "closed sender", payload: "ping", close: true, wantErr: "closed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			received := make(chan string, 1)
			senders := make(chan netip.AddrPort, 1)
			receiver, err := ListenDatagrams(loopback, func(from netip.AddrPort, payload []byte) {
				received <- string(payload)
				senders <- from
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = receiver.Close() }()
			recorder := &reasonRecorder{}
			sender, err := ListenDatagrams(loopback, func(netip.AddrPort, []byte) {}, recorder.record)
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
			if recorder.joined() != tt.wantCounted {
				t.Errorf("counted %q, want %q", recorder.joined(), tt.wantCounted)
			}
			if tt.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), tt.wantErr) {
					t.Errorf("error %v, want one that contains %q", err, tt.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			select {
			case got := <-received:
				if from := <-senders; got != tt.payload || from != sender.Address() {
					t.Errorf("%d bytes from %v, want %d from %v", len(got), from, len(tt.payload), sender.Address())
				}
			case <-time.After(10 * time.Second):
				t.Error("no datagram received")
			}
		})
	}
}
