package stages

import (
	"testing"
	"time"
)

// A quantile is the upper bound of its bucket, which is at most an eighth over the exact one.
func TestHistogramQuantilesAreWithinABucket(t *testing.T) {
	var h histogram
	if got := h.quantile(0.99); got != 0 {
		t.Errorf("an empty histogram has a quantile of %d", got)
	}
	for micros := range 10_000 {
		h.add(time.Duration(micros) * time.Microsecond)
	}
	for _, q := range []float64{0.01, 0.5, 0.9, 0.99} {
		exact, got := q*10_000, float64(h.quantile(q))
		if got < exact || got > exact*(1+1.0/subBuckets)+1 {
			t.Errorf("quantile %v: %v, want at most an eighth over %v", q, got, exact)
		}
	}
	h.add(time.Hour) // beyond the last bucket
	for bucket := range maxBuckets - 1 {
		if upper := upperBound(bucket); bucketOf(upper) != bucket+1 || bucketOf(upper-1) != bucket {
			t.Fatalf("bucket %d ends at %d, which is in bucket %d", bucket, upper, bucketOf(upper))
		}
	}
}

// The stages of a request follow one another, and the overhead is their sum without the endpoint's.
func TestStagesAddUpToTheRequest(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	times := RequestTimes{Arrived: at(0), BodyRead: at(1), Dequeued: at(3), Sent: at(6),
		Attempt: AttemptTimes{Connected: at(10), Written: at(15), Received: at(115)}, ResultReceived: at(121), ResponseReturned: at(128)}
	var recorder Recorder
	before := recorder.Totals()
	recorder.Record(&times)
	want := "[read:1000 queue:2000 probe_wait:3000 connect:4000 write:5000 endpoint:100000 " +
		"return:6000 reply:7000 overhead:28000]"
	if got := recorder.Totals().MeansSince(before); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
