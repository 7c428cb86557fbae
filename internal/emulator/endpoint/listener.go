package endpoint

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	backlogFillTimeout  = time.Second // for a connection of the acceptor itself to fill the backlog
	backlogPollInterval = time.Millisecond
)

// pastDeadline is a deadline that has always passed.
var pastDeadline = time.Unix(1, 0)

// errBacklogNotFull is returned when the backlog did not fill up in time.
var errBacklogNotFull = errors.New("endpoint: listen backlog cannot be filled")

// acceptor is a listener that can stop accepting while it stays open.
type acceptor struct {
	listener    *net.TCPListener
	accepting   sync.Mutex // locked during each Accept
	backlogConn net.Conn   // fills the backlog after dropSYNs; nil if another connection does
}

func listen(address string) (*acceptor, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, err
	}
	return &acceptor{listener: listener}, nil
}

// accept returns the next connection. It fails with a timeout while accepting is paused.
func (a *acceptor) accept() (net.Conn, error) {
	a.accepting.Lock()
	defer a.accepting.Unlock()
	return a.listener.Accept()
}

// pause leaves new connections to the system, which establishes them until the backlog is full. No connection
// is accepted once it has returned.
func (a *acceptor) pause() {
	// It fails only on a closed listener, which accepts nothing anyway.
	_ = a.listener.SetDeadline(pastDeadline)
	a.accepting.Lock() // waits for an Accept in progress
	defer a.accepting.Unlock()
}

// resume ends a pause.
func (a *acceptor) resume() { _ = a.listener.SetDeadline(time.Time{}) }

// dropSYNs makes the system ignore new connections, as if the machine were off the network: while the
// backlog is full, Linux drops each further SYN. The acceptor must have been paused before, and can only be
// closed after.
func (a *acceptor) dropSYNs() error {
	raw, err := a.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), 0) }); err != nil {
		return err
	}
	if listenErr != nil {
		return listenErr
	}
	return a.fillBacklog(raw)
}

// fillBacklog waits until the backlog holds a connection, and opens one itself if there is none.
func (a *acceptor) fillBacklog(raw syscall.RawConn) error {
	for deadline := time.Now().Add(backlogFillTimeout); time.Now().Before(deadline); {
		length, err := backlogLength(raw)
		if err != nil || length > 0 {
			return err
		}
		if a.backlogConn != nil {
			time.Sleep(backlogPollInterval) // the last packet of its handshake is on its way
			continue
		}
		if a.backlogConn, err = net.DialTimeout("tcp", a.listener.Addr().String(), backlogFillTimeout); err != nil {
			return err
		}
	}
	return errBacklogNotFull
}

// backlogLength returns the number of connections that wait to be accepted.
func backlogLength(raw syscall.RawConn) (length int, err error) {
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.SOL_TCP, unix.TCP_INFO)
		if optionErr = infoErr; infoErr == nil {
			length = int(info.Unacked) // the backlog's length, for a listening socket
		}
	})
	return length, errors.Join(err, optionErr)
}

// close stops listening. Connections in the backlog are reset.
func (a *acceptor) close() {
	_ = a.listener.Close()
	if a.backlogConn != nil {
		_ = a.backlogConn.Close()
	}
}
