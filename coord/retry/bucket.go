package retry

import "time"

// Bucket is a token bucket that limits retries to a fraction of the requests. It is an immutable
// value.
type Bucket struct {
	balance int // in hundredths of a retry
}

const (
	// retriesPer100Requests is how many retries 100 requests earn. It limits the load on a failing
	// service to 1.2 times the usual.
	retriesPer100Requests = 20
	// bucketCapacity is the maximum number of saved retries.
	bucketCapacity = 20
	// unitsPerRetry is the cost of a retry in units of the balance.
	unitsPerRetry = 100
)

// NewBucket returns a full bucket.
func NewBucket() Bucket {
	return Bucket{balance: bucketCapacity * unitsPerRetry}
}

// Allows reports whether a retry is left.
func (b Bucket) Allows(time.Time) bool { return b.balance >= unitsPerRetry }

// Remaining returns how many retries are left.
func (b Bucket) Remaining(time.Time) float64 { return float64(b.balance) / unitsPerRetry }

// WithRequest returns the bucket after one more request.
func (b Bucket) WithRequest(time.Time) Bucket {
	b.balance = min(b.balance+retriesPer100Requests, bucketCapacity*unitsPerRetry)
	return b
}

// WithRetry returns the bucket after one retry.
func (b Bucket) WithRetry(time.Time) Bucket {
	b.balance = max(b.balance-unitsPerRetry, 0)
	return b
}
