package stages

import (
	"testing"
	"time"
)

// A quantile is the upper bound of a bucket. It exceeds the exact value by at most 1/8 of the exact value plus one
// microsecond.
func TestHistogramQuantilesAreWithinABucket(t *testing.T) {
	var h histogram
	if got := h.quantile(0.99); got != 0 {
		t.Errorf("the 0.99 quantile of an empty histogram is %d, want 0", got)
	}
	for micros := range 10_000 {
		h.add(time.Duration(micros) * time.Microsecond)
	}
	for _, q := range []float64{0.01, 0.5, 0.9, 0.99} {
		exact, got := q*10_000, float64(h.quantile(q))
		if got < exact || got > exact*(1+1.0/subBuckets)+1 {
			t.Errorf("quantile %v is %v, want at least %v and at most 1/%d more", q, got, exact, subBuckets)
		}
	}
	h.add(time.Hour) // beyond the last bucket
	for bucket := range bucketCount - 1 {
		if upper := upperBound(bucket); bucketIndex(upper) != bucket+1 || bucketIndex(upper-1) != bucket {
			t.Fatalf("bucket %d has the upper bound %d: the values below it and at it are in buckets %d and %d, want %d and %d",
				bucket, upper, bucketIndex(upper-1), bucketIndex(upper), bucket, bucket+1)
		}
	}
}

// Each stage begins at the end of the previous stage, and the overhead is the sum of all stages except the endpoint's.
func TestStagesAddUpToTheRequest(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	times := RequestTimes{Arrived: at(0), BodyRead: at(1), Dequeued: at(3), FirstAttemptStarted: at(6),
		Attempt:        AttemptTimes{Connected: at(10), Written: at(15), Received: at(115)},
		ResultReceived: at(121), ResponseReturned: at(128)}
	var recorder Recorder
	before := recorder.Totals()
	recorder.Record(&times)
	want := "[read:1000 queue:2000 probe_wait:3000 connect:4000 write:5000 endpoint:100000 " +
		"return:6000 reply:7000 overhead:28000]"
	if got := recorder.Totals().MeansSince(before); got != want {
		t.Errorf("means %s, want %s", got, want)
	}
}
