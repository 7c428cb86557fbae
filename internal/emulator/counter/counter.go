// Package counter does arithmetic on structs of counters.
//
// A struct lists pointers to its counters once, always in the same order; sums and differences then cover
// the same fields. Gauges, such as open connections, are no counters: their structs treat them on their own.
package counter

// Add adds each of the counters of other to the one at the same place in sum.
func Add(sum, other []*uint64) {
	for i, value := range other {
		*sum[i] += *value
	}
}

// Subtract subtracts each of the counters of earlier from the one at the same place in now.
func Subtract(now, earlier []*uint64) {
	for i, value := range earlier {
		*now[i] -= *value
	}
}
