package sidecar

import (
	"testing"
	"time"
)

func TestHistogramQuantiles(t *testing.T) {
	var h histogram
	if got := h.quantile(0.99); got != 0 {
		t.Errorf("an empty histogram has a quantile of %d", got)
	}
	for micros := range 10_000 {
		h.add(time.Duration(micros) * time.Microsecond)
	}
	for _, part := range []float64{0.01, 0.5, 0.9, 0.99} {
		exact, got := part*10_000, float64(h.quantile(part))
		if got < exact || got > exact*(1+1.0/subBuckets)+1 {
			t.Errorf("quantile %v: %v, want at most an eighth over %v", part, got, exact)
		}
	}
	h.add(time.Hour) // beyond the last bucket
	for bucket := range maxBuckets - 1 {
		if upper := upperBound(bucket); bucketOf(upper) != bucket+1 || bucketOf(upper-1) != bucket {
			t.Fatalf("bucket %d ends at %d, which is in bucket %d", bucket, upper, bucketOf(upper))
		}
	}
}

func TestStagesAddUp(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	times := requestTimes{arrived: at(0), read: at(1), taken: at(3), sent: at(6),
		attempt: attemptTimes{connected: at(10), written: at(15), received: at(115)}, answer: at(121), replied: at(128)}
	var all stageTimes
	before := all.totals()
	all.record(&times)
	want := "[read:1000 queue:2000 probe_wait:3000 connect:4000 write:5000 endpoint:100000 return:6000 reply:7000 overhead:28000]"
	if got := all.totals().since(before); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
