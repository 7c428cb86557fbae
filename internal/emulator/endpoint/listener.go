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
	backlogFillTimeout  = time.Second      // time limit of fillBacklog, and of opening its connection
	backlogPollInterval = time.Millisecond // interval at which fillBacklog checks the length of the backlog
)

// pastDeadline is a time in the past. As an I/O deadline it makes a blocked operation fail immediately.
var pastDeadline = time.Unix(1, 0)

// errBacklogNotFull is returned when the listen backlog was not full within backlogFillTimeout.
var errBacklogNotFull = errors.New("endpoint: listen backlog was not full within 1 s")

// acceptor is a listener that can stop accepting connections while its socket stays open.
type acceptor struct {
	listener    *net.TCPListener
	accepting   sync.Mutex // locked during each call of Accept
	backlogConn net.Conn   // connection that dropSYNs opened to fill the backlog; nil if a client's connection fills it
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

// accept returns the next connection. It fails with a timeout error while the acceptor is paused.
func (a *acceptor) accept() (net.Conn, error) {
	a.accepting.Lock()
	defer a.accepting.Unlock()
	return a.listener.Accept()
}

// pause stops the acceptor from accepting connections. The operating system still establishes new connections until
// the backlog is full. After pause has returned, no connection is accepted until resume.
func (a *acceptor) pause() {
	// SetDeadline fails only on a closed listener, which accepts no connections anyway.
	_ = a.listener.SetDeadline(pastDeadline)
	a.accepting.Lock() // waits until an Accept in progress has returned
	defer a.accepting.Unlock()
}

// resume ends the effect of pause.
func (a *acceptor) resume() { _ = a.listener.SetDeadline(time.Time{}) }

// dropSYNs makes the operating system ignore connection attempts, as if the machine had lost its network. It reduces
// the backlog to its minimum and fills it: while the backlog is full, Linux drops every further SYN. The acceptor must
// be paused before the call; afterwards it can only be closed.
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

// fillBacklog waits until the backlog contains a connection, and opens a connection itself if there is none. It returns
// errBacklogNotFull if the backlog is still empty after backlogFillTimeout.
func (a *acceptor) fillBacklog(raw syscall.RawConn) error {
	for deadline := time.Now().Add(backlogFillTimeout); time.Now().Before(deadline); {
		length, err := backlogLength(raw)
		if err != nil || length > 0 {
			return err
		}
		if a.backlogConn != nil {
			time.Sleep(backlogPollInterval) // the last packet of backlogConn's handshake has not arrived yet
			continue
		}
		if a.backlogConn, err = net.DialTimeout("tcp", a.listener.Addr().String(), backlogFillTimeout); err != nil {
			return err
		}
	}
	return errBacklogNotFull
}

// backlogLength returns the number of established connections that wait to be accepted.
func backlogLength(raw syscall.RawConn) (length int, err error) {
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.SOL_TCP, unix.TCP_INFO)
		if optionErr = infoErr; infoErr == nil {
			length = int(info.Unacked) // for a listening socket, tcpi_unacked is the length of the backlog
		}
	})
	return length, errors.Join(err, optionErr)
}

// close stops listening. The operating system resets the connections in the backlog.
func (a *acceptor) close() {
	_ = a.listener.Close()
	if a.backlogConn != nil {
		_ = a.backlogConn.Close()
	}
}
