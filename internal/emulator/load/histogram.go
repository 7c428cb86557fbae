package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of a Histogram.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram counts durations from 1 µs to 1 min, to three significant digits. Its JSON encoding is a string with
// HdrHistogram's compressed one. Make one with NewHistogram. It is not safe for concurrent use.
type Histogram struct {
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Record counts a duration. One that is out of bounds counts as the nearest bound.
func (h *Histogram) Record(d time.Duration) {
	// It fails only on values out of bounds.
	_ = h.counts.RecordValue(min(highestMicros, max(lowestMicros, d.Microseconds())))
}

// Merge adds another histogram's counts.
func (h *Histogram) Merge(other *Histogram) { h.counts.Merge(other.counts) }

// Count returns the number of durations recorded.
func (h *Histogram) Count() int64 { return h.counts.TotalCount() }

// Quantile returns the duration that this fraction of all durations, from 0 to 1, does not exceed.
func (h *Histogram) Quantile(fraction float64) time.Duration {
	return time.Duration(h.counts.ValueAtQuantile(fraction*100)) * time.Microsecond
}

// Max returns the longest duration.
func (h *Histogram) Max() time.Duration {
	return time.Duration(h.counts.Max()) * time.Microsecond
}

// Mean returns the average duration.
func (h *Histogram) Mean() time.Duration {
	return time.Duration(h.counts.Mean() * float64(time.Microsecond))
}

// MarshalJSON encodes the histogram.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	encoded, err := h.counts.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(encoded))
}

// UnmarshalJSON replaces the histogram by an encoded one.
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
