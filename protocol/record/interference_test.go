package record

import (
	"bytes"
	"math"
	"strconv"
	"testing"

	"comfreystream/coordination/interference"
)

// TestPairs checks that slowdowns are read back to a thousandth, and that a record of 32
// pairs stays small.
func TestPairs(t *testing.T) {
	pairs := make([]interference.PairEstimate, 32)
	for i := range pairs {
		pairs[i] = interference.PairEstimate{
			Pair: interference.Pair{
				Kind:   interference.Kind{Queue: "render", Cores: 1000 * i, MemoryMiB: 4096, Accelerators: 2},
				Beside: interference.Kind{Image: "registry/image:" + strconv.Itoa(i)},
			},
			Estimate: interference.Estimate{Slowdown: 1.2 + float64(i), Deviation: 0.05 + float64(i)/50},
		}
	}
	text, err := EncodePairs(pairs)
	if err != nil || len(text) > 2000 {
		t.Fatalf("%d bytes, error %v", len(text), err)
	}
	decoded, err := DecodePairs(text)
	if err != nil || len(decoded) != len(pairs) {
		t.Fatalf("%d pairs, error %v", len(decoded), err)
	}
	for i, got := range decoded {
		if want := pairs[i]; got.Pair != want.Pair || math.Abs(math.Log(got.Slowdown/want.Slowdown)) > 0.001 || math.Abs(got.Deviation-want.Deviation) > 0.001 {
			t.Errorf("decoded %+v, want %+v", got, want)
		}
	}
}

// FuzzDecodePairs decodes records that another writer may have left in the store. Those
// that are valid must decode and encode again to the same bytes.
func FuzzDecodePairs(f *testing.F) {
	text, err := EncodePairs([]interference.PairEstimate{{Estimate: interference.Estimate{Slowdown: 2, Deviation: 0.1}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{nil, text, text[:len(text)-1], {0xa0}, {0xa1, 0x01, 0x9b, 0xff}, {0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		pairs, err := DecodePairs(data)
		valid := false
		for number := range 16 {
			valid = valid || interference.Validate(interference.Record{Number: number, Rows: pairs}) == nil
		}
		if err != nil || !valid {
			return
		}
		first, err := EncodePairs(pairs)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodePairs(first)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := EncodePairs(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encoded as %x, then as %x (%v)", first, second, err)
		}
	})
}
