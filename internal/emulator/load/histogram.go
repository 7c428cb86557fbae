package load

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of a Histogram.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram counts durations from 1 µs to 1 min, to three digits. Its JSON form is
// HdrHistogram's compressed one, as a string. Make one with NewHistogram.
type Histogram struct {
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Record counts a duration; one that is out of bounds counts as the bound.
func (h *Histogram) Record(d time.Duration) {
	// It fails only on values out of bounds.
	_ = h.counts.RecordValue(min(highestMicros, max(lowestMicros, d.Microseconds())))
}

// Merge adds another histogram's counts.
func (h *Histogram) Merge(other *Histogram) { h.counts.Merge(other.counts) }

// Count returns how many durations have been recorded.
func (h *Histogram) Count() int64 { return h.counts.TotalCount() }

// Quantile returns the duration that a part of all is not over, with part from 0 to 1.
func (h *Histogram) Quantile(part float64) time.Duration {
	return time.Duration(h.counts.ValueAtQuantile(part*100)) * time.Microsecond
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
		return err
	}
	h.counts = counts
	return nil
}
