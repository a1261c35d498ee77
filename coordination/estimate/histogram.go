package estimate

import "math"

const (
	// bucketsPerOctave makes a bucket 2^(1/4), or about 19%, wide.
	bucketsPerOctave = 4
	// octaves is how far the ratios reach on both sides of 1.
	octaves = 8
	buckets = 2 * octaves * bucketsPerOctave
	// growth makes each observation weigh more than the one before, so that
	// one of 64 observations ago counts half.
	growth = 1.0108892860517005
	// maxWeight is where all weights are scaled down again.
	maxWeight = 1 << 20
)

// ratios is a histogram of actual over declared values on a logarithmic scale
// from 2^-8 to 2^8; older observations count less.
type ratios struct {
	weights [buckets]float32
	// next is the weight of the next observation.
	next float32
	// seen counts the observations up to minObservations.
	seen uint8
}

func (r *ratios) observe(ratio float64) {
	if r.next == 0 {
		r.next = 1
	}
	r.weights[bucketOf(ratio)] += r.next
	r.next *= growth
	r.seen = min(r.seen+1, minObservations)
	if r.next > maxWeight {
		r.scaleDown()
	}
}

func (r *ratios) scaleDown() {
	for i := range r.weights {
		r.weights[i] /= r.next
	}
	r.next = 1
}

// quantile returns the upper bound of the bucket that the quantile, from 0 to 1, is in.
func (r *ratios) quantile(q float64) float64 {
	var total float32
	for _, w := range r.weights {
		total += w
	}
	wanted := float32(q) * total
	for i, w := range r.weights {
		wanted -= w
		if wanted <= 0 {
			return math.Exp2(float64(i+1)/bucketsPerOctave - octaves)
		}
	}
	return math.Exp2(octaves)
}

func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	// A ratio on a bucket's upper bound belongs to that bucket.
	i := int(math.Ceil((math.Log2(ratio)+octaves)*bucketsPerOctave)) - 1
	return min(max(i, 0), buckets-1)
}
