package endpoint

import (
	"net/netip"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// idleConnectionCount is the number of connections that the benchmark opens. Each takes two file descriptors.
const idleConnectionCount = 5000

// BenchmarkIdleConnections reports the memory that an endpoint uses for a connection that is idle after its first
// request. The clients use raw file descriptors, which take no heap or stack memory of the process.
func BenchmarkIdleConnections(b *testing.B) {
	e, err := Start(Config{Name: "s-1", Address: "127.0.0.1:0", Cores: 1, QueueLimit: idleConnectionCount})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	port := netip.MustParseAddrPort(e.Address()).Port()
	for b.Loop() {
		baseline := memoryInUse()
		for range idleConnectionCount {
			defer unix.Close(exchange(b, int(port)))
		}
		b.ReportMetric(float64(memoryInUse()-baseline)/idleConnectionCount, "B/connection")
	}
}

// exchange opens a connection, sends a request and reads the response. It returns the descriptor of the open
// connection.
func exchange(b *testing.B, port int) (descriptor int) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err == nil {
		err = unix.Connect(descriptor, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		_, err = unix.Write(descriptor, []byte("GET /search HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id\r\n\r\n"))
	}
	var response [512]byte
	if err == nil {
		_, err = unix.Read(descriptor, response[:])
	}
	if err != nil {
		b.Fatal(err)
	}
	return descriptor
}

// memoryInUse returns the size of the heap and the stacks, in bytes, after garbage collection.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
