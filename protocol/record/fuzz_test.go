package record

import (
	"bytes"
	"testing"
	"time"

	"comfreystream/coordination/claim"
	"comfreystream/coordination/ledger"
	"comfreystream/state"
)

// FuzzStored feeds arbitrary values to the decoders of claims and segments. What
// they accept must encode, and decode and encode again to the same bytes.
func FuzzStored(f *testing.F) {
	job := &state.Job{ID: "z.1", Organisation: "org", Members: 2, Payload: []byte("p"), Submitted: time.Unix(1, 0).UTC()}
	outcome := state.Outcome{Job: "z.1", Ran: state.RanToCompletion, Answer: []byte("a")}
	encodedSegment, err := encodeSegment(ledger.Segment{Items: []ledger.Item{
		{ID: "z.1", Job: job}, {ID: "z.2", Ended: time.Unix(2, 0).UTC(), Outcome: outcome, HasSeparateAnswer: true},
	}})
	if err != nil {
		f.Fatal(err)
	}
	encodedClaim, err := encodeClaim(claim.Record{Organisation: "org", Key: "k", Holder: "z.1", TakeID: "w", Ended: true, Outcome: outcome})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{nil, {0xa0}, {0xbf}, {0x9b, 0xff}, encodedSegment, encodedClaim, encodedSegment[:len(encodedSegment)-1]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := decodeSegment(data); err == nil {
			roundTrip(t, func() ([]byte, error) { return encodeSegment(s) }, func(b []byte) ([]byte, error) {
				decoded, err := decodeSegment(b)
				if err != nil {
					return nil, err
				}
				return encodeSegment(decoded)
			})
		}
		if c, err := decodeClaim(data); err == nil {
			roundTrip(t, func() ([]byte, error) { return encodeClaim(c) }, func(b []byte) ([]byte, error) {
				decoded, err := decodeClaim(b)
				if err != nil {
					return nil, err
				}
				return encodeClaim(decoded)
			})
		}
	})
}

func roundTrip(t *testing.T, encode func() ([]byte, error), reencode func([]byte) ([]byte, error)) {
	t.Helper()
	first, err := encode()
	if err != nil {
		t.Fatalf("a decoded value does not encode: %v", err)
	}
	second, err := reencode(first)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("encoded as %x, then as %x (%v)", first, second, err)
	}
}
