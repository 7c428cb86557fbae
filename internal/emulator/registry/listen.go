package registry

import (
	"errors"
	"net"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

// Listen starts to serve at an address, in addition to the addresses that are served already. It returns the address
// that it listens on. After Close it returns ErrClosed.
func (s *Server) Listen(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return nil, ErrClosed
	}
	set := &httpconn.Set{}
	s.listeners[listener] = set
	s.serving.Add(1)
	go s.accept(listener, set)
	return listener.Addr(), nil
}

// Move starts to serve at a new address, which it returns. All earlier addresses stop accepting connections
// immediately, and their open connections are closed after 1.5 s.
func (s *Server) Move(address string) (net.Addr, error) {
	s.mu.Lock()
	previous := make(map[net.Listener]*httpconn.Set, len(s.listeners))
	for listener, set := range s.listeners {
		previous[listener] = set
	}
	s.mu.Unlock()
	newAddress, err := s.Listen(address)
	if err != nil {
		return nil, err
	}
	for listener, set := range previous {
		s.retireListener(listener, set)
	}
	s.logger.Info("registry moved", "address", newAddress)
	return newAddress, nil
}

// retireListener closes a listener immediately, and its connections after moveGrace.
func (s *Server) retireListener(listener net.Listener, set *httpconn.Set) {
	_ = listener.Close()
	s.mu.Lock()
	delete(s.listeners, listener)
	s.mu.Unlock()
	time.AfterFunc(s.moveGrace, func() {
		for _, c := range set.All() {
			c.Close()
		}
	})
}

// accept accepts and serves the connections of a listener until the listener is closed.
func (s *Server) accept(listener net.Listener, set *httpconn.Set) {
	defer s.serving.Done()
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logger.Warn("registry can't accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := httpconn.New(socket, &s.traffic)
		set.Add(c)
		if !s.trackConnection(c) {
			c.Close()
			return
		}
		go func() {
			defer s.serving.Done()
			defer set.Remove(c)
			defer s.connections.Remove(c)
			defer c.Close()
			s.serve(c)
		}()
	}
}

// trackConnection registers a connection before it is served. It returns false, and does not register the connection,
// if the server is closed.
func (s *Server) trackConnection(c *httpconn.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections.Add(c)
	s.serving.Add(1)
	return true
}
