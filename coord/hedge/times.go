package hedge

import (
	"math"
	"time"
)

const (
	// buckets is the number of classes of response times. The first one ends at firstBucket, and each
	// other one at bucketGrowth times the end of the one before it. The last one begins at 7.7 s,
	// beyond which a response is late for every known target.
	buckets      = 80
	firstBucket  = time.Millisecond
	bucketGrowth = 1.12
	// maxWeight is the weight of all samples together at which each is halved, so that quantiles
	// follow the last few hundred responses.
	maxWeight = 512
)

// Times is the distribution of recent response times, to within a factor of bucketGrowth. It is an
// immutable value.
type Times struct {
	weights [buckets]float32
	total   float32
}

// With returns the distribution after one more response time.
func (t Times) With(took time.Duration) Times {
	if t.total >= maxWeight {
		for i := range t.weights {
			t.weights[i] /= 2
		}
		t.total /= 2
	}
	t.weights[bucketOf(took)]++
	t.total++
	return t
}

// Count returns the weight of all samples, which is their number until the first halving.
func (t Times) Count() int { return int(t.total) }

// Quantile returns the response time that a fraction q of the samples does not exceed, interpolated
// within its bucket; 0 if there are no samples.
func (t Times) Quantile(q float64) time.Duration {
	left := q * float64(t.total)
	if t.total == 0 {
		return 0
	}
	for i, weight := range t.weights {
		w := float64(weight)
		if w > 0 && left <= w {
			return bucketPoint(float64(i) - 1 + left/w)
		}
		left -= w
	}
	return bucketPoint(buckets - 1)
}

// bucketOf returns the index of the bucket of a response time.
func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	i := math.Ceil(math.Log(float64(took)/float64(firstBucket)) / math.Log(bucketGrowth))
	return min(int(i), buckets-1)
}

// bucketPoint returns the response time at a point of the scale on which bucket i ends at i.
func bucketPoint(point float64) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, point))
}
