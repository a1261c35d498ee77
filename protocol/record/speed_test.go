package record

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

// TestSpeeds checks that speeds are read back to a thousandth, and that a record of 64
// workers stays small, as it is written each second while workers change.
func TestSpeeds(t *testing.T) {
	workers := make([]speed.WorkerSpeed, 64)
	for i := range workers {
		factor := math.Exp(float64(i-32) / 7)
		workers[i] = speed.WorkerSpeed{Worker: workflow.WorkerID("worker-" + strconv.Itoa(1000+i)), Estimate: speed.Estimate{Factor: factor, Deviation: 0.05 + float64(i)/50}}
	}
	text, err := EncodeSpeeds(workers)
	if err != nil || len(text) > 1500 {
		t.Fatalf("%d bytes, error %v", len(text), err)
	}
	decoded, err := DecodeSpeeds(text)
	if err != nil {
		t.Fatal(err)
	}
	same := slices.EqualFunc(workers, decoded, func(a, b speed.WorkerSpeed) bool {
		return a.Worker == b.Worker && math.Abs(math.Log(a.Factor/b.Factor)) < 0.001 && math.Abs(a.Deviation-b.Deviation) < 0.001
	})
	if !same {
		t.Errorf("decoded %+v, want %+v", decoded, workers)
	}
}

// FuzzDecodeSpeeds decodes records that another writer may have left in the store.
// What a model takes over must encode, and decode and encode again to the same bytes.
func FuzzDecodeSpeeds(f *testing.F) {
	text, err := EncodeSpeeds([]speed.WorkerSpeed{{Worker: "a", Estimate: speed.Estimate{Factor: 2, Deviation: 0.1}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{nil, text, text[:len(text)-1], {0xa0}, {0xa1, 0x01, 0x9b, 0xff}, {0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		workers, err := DecodeSpeeds(data)
		if err != nil || len(workers) > 64 {
			return
		}
		m := speed.New()
		if m.Restore(time.Unix(1000, 0), speed.Record{Workers: workers}) != nil {
			return
		}
		m.Fit(time.Unix(1000, 0))
		first, err := EncodeSpeeds(workers)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeSpeeds(first)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := EncodeSpeeds(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encoded as %x, then as %x (%v)", first, second, err)
		}
	})
}
