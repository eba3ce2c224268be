package retry

import "time"

// Bucket bounds retries by a share of the requests. It is an immutable value.
type Bucket struct {
	balance int // in hundredths of a retry
}

const (
	// bucketPercent is how many retries 100 requests earn, so that a failing service gets at most
	// 1.2 times its load.
	bucketPercent = 20
	// bucketLimit is how many retries are kept ready.
	bucketLimit = 20
	hundredths  = 100
)

// NewBucket returns a full bucket.
func NewBucket() Bucket {
	return Bucket{balance: bucketLimit * hundredths}
}

// Covers reports whether there is a retry left.
func (b Bucket) Covers(time.Time) bool { return b.balance >= hundredths }

// WithRequest returns the bucket after one more request.
func (b Bucket) WithRequest(time.Time) Bucket {
	b.balance = min(b.balance+bucketPercent, bucketLimit*hundredths)
	return b
}

// WithRetry returns the bucket after one retry.
func (b Bucket) WithRetry(time.Time) Bucket {
	b.balance = max(b.balance-hundredths, 0)
	return b
}
