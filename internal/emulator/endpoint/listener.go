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
	fillTimeout = time.Second // for a connection of our own to fill the backlog
	fillPause   = time.Millisecond
)

// past is a deadline that has always been exceeded.
var past = time.Unix(1, 0)

// errNotFilled is a backlog that did not take a connection of our own.
var errNotFilled = errors.New("endpoint: the backlog can't be filled")

// acceptor is a listener that can stop accepting while it stays open.
type acceptor struct {
	listener  *net.TCPListener
	accepting sync.Mutex // held during each Accept
	filler    net.Conn   // of the backlog, once silenced; nil if others filled it
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

// pause leaves new connections to the system, which goes on taking them until the
// backlog is full. No connection is accepted once it has returned.
func (a *acceptor) pause() {
	// It fails only on a closed listener, which accepts nothing anyway.
	_ = a.listener.SetDeadline(past)
	a.accepting.Lock() // waits for an Accept that had begun before
	defer a.accepting.Unlock()
}

// resume ends a pause.
func (a *acceptor) resume() { _ = a.listener.SetDeadline(time.Time{}) }

// silence makes the system drop new connections without a word, as the network does for
// a machine that is gone: with a backlog that is full, Linux ignores any further SYN. It
// has to be paused before, and is of no more use after that but to be closed.
func (a *acceptor) silence() error {
	raw, err := a.listener.SyscallConn()
	if err != nil {
		return err
	}
	var shrunk error
	if err := raw.Control(func(descriptor uintptr) { shrunk = syscall.Listen(int(descriptor), 0) }); err != nil {
		return err
	}
	if shrunk != nil {
		return shrunk
	}
	return a.fill(raw)
}

// fill waits until the backlog holds a connection, by one of our own if there is none.
func (a *acceptor) fill(raw syscall.RawConn) error {
	for end := time.Now().Add(fillTimeout); time.Now().Before(end); {
		length, err := backlogLength(raw)
		if err != nil || length > 0 {
			return err
		}
		if a.filler != nil {
			time.Sleep(fillPause) // the last packet of its handshake is on its way
			continue
		}
		if a.filler, err = net.DialTimeout("tcp", a.listener.Addr().String(), fillTimeout); err != nil {
			return err
		}
	}
	return errNotFilled
}

// backlogLength is how many connections wait to be accepted.
func backlogLength(raw syscall.RawConn) (length int, err error) {
	var asked error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.SOL_TCP, unix.TCP_INFO)
		if asked = infoErr; infoErr == nil {
			length = int(info.Unacked) // for a socket that listens, the length of its backlog
		}
	})
	return length, errors.Join(err, asked)
}

// close ends listening. Connections in the backlog are reset.
func (a *acceptor) close() {
	_ = a.listener.Close()
	if a.filler != nil {
		_ = a.filler.Close()
	}
}
