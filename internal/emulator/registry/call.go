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
	maxWait  = 60 * time.Second
)

// errBadQuery is a call whose query is not by the protocol.
var errBadQuery = errors.New("registry: after and wait_ms must be whole numbers")

// call is a request for the list.
type call struct {
	watch bool
	after uint64
	wait  time.Duration
}

// watch is a call that is held until there is news.
type watch struct {
	conn  *httpconn.Conn
	after uint64
	until time.Time
}

// serve answers the calls on a connection until it ends.
func (s *Server) serve(c *httpconn.Conn) {
	for {
		c.WakeAt(time.Time{})
		if c.AwaitRequest() != nil {
			return
		}
		var request *http.Request
		var err error
		s.timed(func() { request, err = c.ReadRequest() })
		if err != nil || s.answer(c, request) != nil || request.Close {
			return
		}
	}
}

// timed adds the processor time of step, which must not wait for others, to the figures.
func (s *Server) timed(step func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadCPU()
	step()
	s.counters.handlingCPU.Add(int64(threadCPU() - start))
}

// answer answers one request.
func (s *Server) answer(c *httpconn.Conn, request *http.Request) error {
	if request.URL.Path != listPath || request.Method != http.MethodGet {
		return s.reject(c, http.StatusNotFound)
	}
	asked, err := parseCall(request.URL.Query())
	if err != nil {
		return s.reject(c, http.StatusBadRequest)
	}
	if asked.watch {
		s.counters.watchCalls.Add(1)
	} else {
		s.counters.wholeCalls.Add(1)
	}
	served, err := s.awaitTurn(c)
	switch {
	case err != nil:
		return err
	case !served || s.isDown():
		s.counters.unavailable.Add(1)
		return s.write(c, httpconn.AppendAnswer(nil, http.StatusServiceUnavailable, nil))
	case asked.watch:
		return s.answerWatch(c, asked)
	}
	return s.writeList(c, s.wholeList())
}

func (s *Server) wholeList() (whole *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timed(func() { whole = s.list.wholeList() })
	return whole
}

func parseCall(query url.Values) (call, error) {
	if !query.Has("after") {
		return call{}, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return call{}, errBadQuery
	}
	asked := call{watch: true, after: after}
	if query.Has("wait_ms") {
		milliseconds, err := strconv.ParseUint(query.Get("wait_ms"), 10, 32)
		if err != nil {
			return call{}, errBadQuery
		}
		asked.wait = min(maxWait, time.Duration(milliseconds)*time.Millisecond)
	}
	return asked, nil
}

// awaitTurn waits for the call's turn and says whether it came in time.
func (s *Server) awaitTurn(c *httpconn.Conn) (inTime bool, err error) {
	reservation := s.turns.Reserve()
	delay := reservation.Delay()
	inTime = s.options.MaxQueueDelay <= 0 || delay <= s.options.MaxQueueDelay
	if !inTime {
		reservation.Cancel()
		delay = s.options.MaxQueueDelay
	}
	if delay <= 0 {
		return inTime, nil
	}
	c.WakeAt(time.Now().Add(delay))
	return inTime, c.AwaitWake()
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// answerWatch holds a watch until there is news or its wait is over, and answers it.
func (s *Server) answerWatch(c *httpconn.Conn, asked call) error {
	held := &watch{conn: c, after: asked.after, until: time.Now().Add(asked.wait)}
	defer s.forget(held)
	for {
		news, down := s.news(held)
		if news != nil {
			return s.writeList(c, news)
		}
		if down {
			s.counters.unavailable.Add(1)
			return s.write(c, httpconn.AppendAnswer(nil, http.StatusServiceUnavailable, nil))
		}
		if err := c.AwaitWake(); err != nil {
			return err
		}
	}
}

// news returns a watch's answer if it is due. If not, the watch is held: its connection
// is woken by the next version or when the wait is over.
func (s *Server) news(held *watch) (due *answer, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, true
	case s.silent:
		held.conn.WakeAt(time.Time{})
	case s.list.seq != held.after || !time.Now().Before(held.until):
		s.timed(func() { due = s.list.newerThan(held.after) })
		return due, false
	default:
		held.conn.WakeAt(held.until)
	}
	s.watches[held] = struct{}{}
	return nil, false
}

// wakeWatches makes every watch that is held look for news. s.mu is held.
func (s *Server) wakeWatches() {
	for held := range s.watches {
		held.conn.Wake()
	}
}

func (s *Server) forget(held *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, held)
}

func (s *Server) writeList(c *httpconn.Conn, list *answer) error {
	s.counters.answered(list.kind)
	return s.write(c, list.bytes)
}

func (s *Server) reject(c *httpconn.Conn, status int) error {
	s.counters.notFound.Add(1)
	return s.write(c, httpconn.AppendAnswer(nil, status, nil))
}

func (s *Server) write(c *httpconn.Conn, answer []byte) (err error) {
	s.timed(func() { err = c.Write(answer) })
	return err
}
