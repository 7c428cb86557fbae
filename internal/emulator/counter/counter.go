// Package counter adds and subtracts the counters of structs.
//
// A struct type that has counters has one method that returns pointers to all of them, always in the same order, so
// that sums and differences cover the same fields. Gauges, such as the number of open connections, are not counters:
// their structs handle them separately.
package counter

// Add adds each counter in other to the counter at the same index in sum.
func Add(sum, other []*uint64) {
	for i, value := range other {
		*sum[i] += *value
	}
}

// Subtract subtracts each counter in earlier from the counter at the same index in now.
func Subtract(now, earlier []*uint64) {
	for i, value := range earlier {
		*now[i] -= *value
	}
}
