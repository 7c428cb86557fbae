package registry

import (
	"errors"
	"net/http"
	"net/url"
	"runtime"
	"strconv"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

const (
	listPath = "/registry/instances"
	maxWait  = 60 * time.Second // upper limit of the wait that a watch may ask for
)

// errBadQuery is returned for a call whose query parameter after or wait_ms is not a number.
var errBadQuery = errors.New("registry: after and wait_ms must be unsigned integers")

// listCall is a parsed call: a request for the complete list, or a watch for changes after a version.
type listCall struct {
	isWatch      bool
	afterVersion uint64        // version that the client of a watch has
	wait         time.Duration // time after which a watch gets a response even if there is no newer version
}

// pendingWatch is a watch that waits for its response.
type pendingWatch struct {
	conn         *httpconn.Conn
	afterVersion uint64
	deadline     time.Time // time at which the response is due even if there is no newer version
}

// serve handles the calls on a connection until it is closed.
func (s *Server) serve(c *httpconn.Conn) {
	for {
		c.WakeAt(time.Time{})
		if c.AwaitRequest() != nil {
			return
		}
		var request *http.Request
		var err error
		s.countCPU(func() { request, err = c.ReadRequest() })
		if err != nil || s.respond(c, request) != nil || request.Close {
			return
		}
	}
}

// countCPU runs step and adds to handlingCPU the processor time that the thread spends on step. The function step must
// not block.
func (s *Server) countCPU(step func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadCPU()
	step()
	s.counters.handlingCPU.Add(int64(threadCPU() - start))
}

// respond handles one request. An error means that the connection has to be closed.
func (s *Server) respond(c *httpconn.Conn, request *http.Request) error {
	if request.URL.Path != listPath || request.Method != http.MethodGet {
		return s.reject(c, http.StatusNotFound)
	}
	call, err := parseCall(request.URL.Query())
	if err != nil {
		return s.reject(c, http.StatusBadRequest)
	}
	if call.isWatch {
		s.counters.watchCalls.Add(1)
	} else {
		s.counters.listCalls.Add(1)
	}
	admitted, err := s.awaitCapacity(c)
	switch {
	case err != nil:
		return err
	case !admitted || s.isDown():
		s.counters.unavailable.Add(1)
		return s.write(c, httpconn.AppendResponse(nil, http.StatusServiceUnavailable, nil))
	case call.isWatch:
		return s.respondToWatch(c, call)
	}
	return s.writeList(c, s.completeList())
}

// completeList returns the response with the complete list.
func (s *Server) completeList() (complete *response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCPU(func() { complete = s.list.completeResponse() })
	return complete
}

// parseCall parses the query of a call. A call without the parameter after asks for the complete list.
func parseCall(query url.Values) (listCall, error) {
	if !query.Has("after") {
		return listCall{}, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return listCall{}, errBadQuery
	}
	call := listCall{isWatch: true, afterVersion: after}
	if query.Has("wait_ms") {
		milliseconds, err := strconv.ParseUint(query.Get("wait_ms"), 10, 32)
		if err != nil {
			return listCall{}, errBadQuery
		}
		call.wait = min(maxWait, time.Duration(milliseconds)*time.Millisecond)
	}
	return call, nil
}

// awaitCapacity waits until the rate limit admits the call. If the rate limit would delay the call for longer than
// MaxQueueDelay, awaitCapacity waits for MaxQueueDelay and returns false. It returns an error if the client
// disconnects or sends a byte during the wait.
func (s *Server) awaitCapacity(c *httpconn.Conn) (admitted bool, err error) {
	reservation := s.limiter.Reserve()
	delay := reservation.Delay()
	admitted = s.options.MaxQueueDelay <= 0 || delay <= s.options.MaxQueueDelay
	if !admitted {
		reservation.Cancel()
		delay = s.options.MaxQueueDelay
	}
	if delay <= 0 {
		return admitted, nil
	}
	c.WakeAt(time.Now().Add(delay))
	return admitted, c.AwaitWake()
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// respondToWatch responds to a watch when the list's version differs from the client's, or when the wait of the watch
// is over. It responds with a 503 if an outage has begun before the watch is pending; an outage that begins later
// resets the connection.
func (s *Server) respondToWatch(c *httpconn.Conn, call listCall) error {
	watch := &pendingWatch{conn: c, afterVersion: call.afterVersion, deadline: time.Now().Add(call.wait)}
	defer s.removeWatch(watch)
	for {
		due, down := s.nextResponse(watch)
		if due != nil {
			return s.writeList(c, due)
		}
		if down {
			s.counters.unavailable.Add(1)
			return s.write(c, httpconn.AppendResponse(nil, http.StatusServiceUnavailable, nil))
		}
		if err := c.AwaitWake(); err != nil {
			return err
		}
	}
}

// nextResponse returns the response to a watch if it is due, or down = true during an outage. Otherwise it returns nil
// and false and registers the watch as pending: the connection of the watch is woken when the list changes, when the
// wait of the watch is over (unless the registry is silent), or when the registry stops being silent.
func (s *Server) nextResponse(watch *pendingWatch) (due *response, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, true
	case s.silent:
		watch.conn.WakeAt(time.Time{})
	case s.list.version != watch.afterVersion || !time.Now().Before(watch.deadline):
		s.countCPU(func() { due = s.list.responseAfter(watch.afterVersion) })
		return due, false
	default:
		watch.conn.WakeAt(watch.deadline)
	}
	s.watches[watch] = struct{}{}
	return nil, false
}

// wakeWatches makes every pending watch check whether its response is due. The caller holds s.mu.
func (s *Server) wakeWatches() {
	for watch := range s.watches {
		watch.conn.Wake()
	}
}

func (s *Server) removeWatch(watch *pendingWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, watch)
}

func (s *Server) writeList(c *httpconn.Conn, list *response) error {
	s.counters.countResponse(list.kind)
	return s.write(c, list.encoded)
}

func (s *Server) reject(c *httpconn.Conn, status int) error {
	s.counters.notFound.Add(1)
	return s.write(c, httpconn.AppendResponse(nil, status, nil))
}

func (s *Server) write(c *httpconn.Conn, response []byte) (err error) {
	s.countCPU(func() { err = c.Write(response) })
	return err
}
