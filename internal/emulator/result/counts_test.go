package result

import (
	"reflect"
	"testing"

	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/worker"
)

// setCounters sets every uint64 and time.Duration field of a struct to value, including those of nested structs.
func setCounters(structValue reflect.Value, value int) {
	for i := range structValue.NumField() {
		switch field := structValue.Field(i); field.Kind() {
		case reflect.Uint64:
			field.SetUint(uint64(value))
		case reflect.Int64:
			field.SetInt(int64(value))
		case reflect.Struct:
			setCounters(field, value)
		}
	}
}

// filledCounts returns counts in which every counter has the given value.
func filledCounts[Counts any](value int) (counts Counts) {
	setCounters(reflect.ValueOf(&counts).Elem(), value)
	return counts
}

// checkSince checks that Since subtracts every counter of a type of counts.
func checkSince[Counts interface {
	comparable
	Since(Counts) Counts
}](t *testing.T) {
	t.Helper()
	if got, want := filledCounts[Counts](5).Since(filledCounts[Counts](2)), filledCounts[Counts](3); got != want {
		t.Errorf("Since returned %+v, want %+v", got, want)
	}
}

func TestSinceSubtractsEveryCounter(t *testing.T) {
	checkSince[registry.Counts](t)
	checkSince[endpoint.Counts](t)
	checkSince[worker.SidecarCounts](t)
}

func TestSumsAddEveryCounter(t *testing.T) {
	endpoints := filledCounts[endpoint.Counts](2)
	endpoints.Add(filledCounts[endpoint.Counts](3))
	if want := filledCounts[endpoint.Counts](5); endpoints != want {
		t.Errorf("sum of endpoint counts: got %+v, want %+v", endpoints, want)
	}
	sidecars := filledCounts[worker.SidecarCounts](2)
	sidecars.Add(filledCounts[worker.SidecarCounts](3))
	if want := filledCounts[worker.SidecarCounts](5); sidecars != want {
		t.Errorf("sum of sidecar counts: got %+v, want %+v", sidecars, want)
	}
	first, second := load.NewReport(), load.NewReport()
	first.Counts, second.Counts = filledCounts[load.Counts](2), filledCounts[load.Counts](3)
	first.Merge(second)
	if want := filledCounts[load.Counts](5); first.Counts != want {
		t.Errorf("merged load counts: got %+v, want %+v", first.Counts, want)
	}
}
