package endpoint

import (
	"net"
	"syscall"
	"time"
)

// fillTimeout is how long a connection of our own may take to fill the backlog.
const fillTimeout = 50 * time.Millisecond

// past is a deadline that has always been exceeded.
var past = time.Unix(1, 0)

// listen opens a listener.
func listen(address string) (*net.TCPListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", resolved)
}

// stopAnswering makes the system drop new connections to a listener in silence, as
// the network does for a machine that is gone: with a backlog that is full, Linux
// ignores any further SYN. It returns the connection that fills the backlog, nil if
// others had filled it. The listener is of no more use after that but to be closed.
func stopAnswering(listener *net.TCPListener) (filler net.Conn, err error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	err = raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), 0) })
	if err != nil {
		return nil, err
	}
	if listenErr != nil {
		return nil, listenErr
	}
	filler, err = net.DialTimeout("tcp", listener.Addr().String(), fillTimeout)
	if err != nil {
		return nil, nil // full already
	}
	return filler, nil
}
