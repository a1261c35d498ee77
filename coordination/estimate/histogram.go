package estimate

import "math"

const (
	// bucketsPerOctave makes a bucket 2^(1/4), or about 19%, wide.
	bucketsPerOctave = 4
	// octavesPerSide is the range of the ratios on each side of 1, in powers of
	// two.
	octavesPerSide = 8
	bucketCount    = 2 * octavesPerSide * bucketsPerOctave
	// weightGrowth is the growth of the weight from one observation to the next;
	// an observation that is 64 observations old counts half.
	weightGrowth = 1.0108892860517005
	// maxWeight is the weight above which all weights are scaled down.
	maxWeight = 1 << 20
)

// histogram counts ratios of actual to declared values on a logarithmic scale
// from 2^-8 to 2^8; older observations count less.
type histogram struct {
	weights [bucketCount]float32
	// nextWeight is the weight of the next observation.
	nextWeight float32
	// observations counts the observations up to minObservations.
	observations uint8
}

func (r *histogram) observe(ratio float64) {
	if r.nextWeight == 0 {
		r.nextWeight = 1
	}
	r.weights[bucketOf(ratio)] += r.nextWeight
	r.nextWeight *= weightGrowth
	r.observations = min(r.observations+1, minObservations)
	if r.nextWeight > maxWeight {
		r.rescale()
	}
}

func (r *histogram) rescale() {
	for i := range r.weights {
		r.weights[i] /= r.nextWeight
	}
	r.nextWeight = 1
}

// quantile returns the upper bound of the bucket that contains the quantile q,
// from 0 to 1.
func (r *histogram) quantile(q float64) float64 {
	var total float32
	for _, w := range r.weights {
		total += w
	}
	wanted := float32(q) * total
	for i, w := range r.weights {
		wanted -= w
		if wanted <= 0 {
			return math.Exp2(float64(i+1)/bucketsPerOctave - octavesPerSide)
		}
	}
	return math.Exp2(octavesPerSide)
}

func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	// A bucket includes its upper bound.
	i := int(math.Ceil((math.Log2(ratio)+octavesPerSide)*bucketsPerOctave)) - 1
	return min(max(i, 0), bucketCount-1)
}
