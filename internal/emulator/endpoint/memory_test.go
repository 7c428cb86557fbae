package endpoint

import (
	"net/netip"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// idleConnections is how many connections are measured. Each takes two descriptors.
const idleConnections = 5000

// BenchmarkIdleConnections tells the memory that an endpoint spends on a connection that
// has carried a request and is idle. The clients' ends are bare descriptors, which take
// no memory of the process.
func BenchmarkIdleConnections(b *testing.B) {
	e, err := Start(Config{Name: "s-1", Address: "127.0.0.1:0", Cores: 1, QueueLimit: idleConnections})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	port := netip.MustParseAddrPort(e.Address()).Port()
	for b.Loop() {
		before := memoryInUse()
		for range idleConnections {
			defer unix.Close(exchange(b, int(port)))
		}
		b.ReportMetric(float64(memoryInUse()-before)/idleConnections, "B/connection")
	}
}

// exchange opens a connection and sends a request on it.
func exchange(b *testing.B, port int) (descriptor int) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err == nil {
		err = unix.Connect(descriptor, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		_, err = unix.Write(descriptor, []byte("GET /search HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id\r\n\r\n"))
	}
	var answer [512]byte
	if err == nil {
		_, err = unix.Read(descriptor, answer[:])
	}
	if err != nil {
		b.Fatal(err)
	}
	return descriptor
}

// memoryInUse is what the heap and the stacks hold after a collection.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
