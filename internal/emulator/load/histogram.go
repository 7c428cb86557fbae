package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and precision of a Histogram.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram counts durations from 1 µs to 1 min with a precision of three significant digits. Its JSON encoding is a
// string that holds the compressed encoding of HdrHistogram. NewHistogram creates one. It is not safe for concurrent
// use.
type Histogram struct {
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Record counts a duration. A duration outside the range of the histogram is recorded as the nearest limit of the
// range.
func (h *Histogram) Record(d time.Duration) {
	// RecordValue fails only on values outside the range.
	_ = h.counts.RecordValue(min(highestMicros, max(lowestMicros, d.Microseconds())))
}

// Merge adds the counts of another histogram to h.
func (h *Histogram) Merge(other *Histogram) { h.counts.Merge(other.counts) }

// Count returns the number of durations recorded.
func (h *Histogram) Count() int64 { return h.counts.TotalCount() }

// Quantile returns the duration that the given fraction, from 0 to 1, of all recorded durations does not exceed.
func (h *Histogram) Quantile(fraction float64) time.Duration {
	return time.Duration(h.counts.ValueAtQuantile(fraction*100)) * time.Microsecond
}

// Max returns the longest recorded duration.
func (h *Histogram) Max() time.Duration {
	return time.Duration(h.counts.Max()) * time.Microsecond
}

// Mean returns the arithmetic mean of the recorded durations.
func (h *Histogram) Mean() time.Duration {
	return time.Duration(h.counts.Mean() * float64(time.Microsecond))
}

// MarshalJSON encodes the histogram as a JSON string.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	encoded, err := h.counts.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(encoded))
}

// UnmarshalJSON replaces the contents of the histogram with those of an encoded one.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var encoded string
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	counts, err := hdrhistogram.Decode([]byte(encoded))
	if err != nil {
		return fmt.Errorf("load: decode histogram: %w", err)
	}
	h.counts = counts
	return nil
}
