package endpoint

import (
	"net/http"
	"strconv"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

const (
	livePath  = "/health/live"
	statsPath = "/stats"

	correlationIDHeader = "X-Correlation-Id"
	timeLeftHeader      = "X-Time-Left-Ms"
	loadHeader          = "X-Backend-Load"
	unprocessedHeader   = "X-Unprocessed"
)

// serve answers the requests on a connection until it ends.
func (e *Endpoint) serve(c *httpconn.Conn) {
	defer e.serving.Done()
	defer e.connections.Remove(c)
	defer c.Close()
	for e.serveNext(c) {
	}
}

// serveNext answers one request and says whether the connection is kept.
func (e *Endpoint) serveNext(c *httpconn.Conn) bool {
	c.WakeAt(e.idleUntil())
	if c.AwaitRequest() != nil {
		return false
	}
	c.WakeAt(time.Time{})
	e.gate.pass()
	request, err := c.ReadRequest()
	if err != nil {
		return false
	}
	return e.answer(c, request) == nil && !request.Close
}

// idleUntil is when a connection that is idle from now on is closed; zero: never.
func (e *Endpoint) idleUntil() time.Time {
	if e.config.IdleTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(e.config.IdleTimeout)
}

// answer answers one request or probe.
func (e *Endpoint) answer(c *httpconn.Conn, request *http.Request) error {
	if isProbe(request) {
		return e.answerProbe(c, request.URL.Path)
	}
	e.counters.requests.Add(1)
	id := request.Header.Get(correlationIDHeader)
	if id == "" {
		e.counters.missingID.Add(1)
		return e.write(c, http.StatusNotFound, nil)
	}
	work, draining := e.life()
	current := &task{conn: c, expires: expiry(request.Header)}
	switch {
	case draining:
		return e.reject(c, http.StatusServiceUnavailable)
	case !current.expires.IsZero() && !time.Now().Before(current.expires):
		return e.reject(c, http.StatusGatewayTimeout)
	case !work.admit(current):
		return e.reject(c, http.StatusServiceUnavailable)
	}
	if e.recent.begin(id) {
		e.counters.duplicates.Add(1)
	}
	return e.complete(c, work, current, id)
}

// complete waits until a task is done and answers it.
func (e *Endpoint) complete(c *httpconn.Conn, work *queue, current *task, id string) error {
	err := c.AwaitWake()
	e.gate.pass()
	reached := work.finish(current)
	switch {
	case err != nil:
		e.counters.abandoned.Add(1)
		return err
	case reached == expired:
		return e.reject(c, http.StatusGatewayTimeout)
	}
	if err := e.write(c, http.StatusOK, []byte(e.config.Name+" "+id+"\n")); err != nil {
		return err
	}
	e.counters.served.Add(1)
	return nil
}

func isProbe(request *http.Request) bool {
	return request.Method == http.MethodGet && (request.URL.Path == livePath || request.URL.Path == statsPath)
}

func (e *Endpoint) answerProbe(c *httpconn.Conn, path string) error {
	e.counters.probes.Add(1)
	status := http.StatusOK
	if _, draining := e.life(); draining {
		status = http.StatusServiceUnavailable
	}
	var body []byte
	if path == statsPath && e.config.ReportLoad {
		body = []byte(e.load())
	}
	return e.write(c, status, body)
}

// reject turns a request away that has not run and never will.
func (e *Endpoint) reject(c *httpconn.Conn, status int) error {
	e.counters.rejected.Add(1)
	return e.write(c, status, nil, httpconn.Field{Name: unprocessedHeader, Value: "1"})
}

func (e *Endpoint) write(c *httpconn.Conn, status int, body []byte, fields ...httpconn.Field) error {
	if e.config.ReportLoad {
		fields = append(fields, httpconn.Field{Name: loadHeader, Value: e.load()})
	}
	return c.Write(httpconn.AppendAnswer(nil, status, body, fields...))
}

// load is the load report.
func (e *Endpoint) load() string {
	work, _ := e.life()
	return e.config.LoadField + "=" + strconv.Itoa(work.inFlight())
}

// life returns the state of the current life of the process.
func (e *Endpoint) life() (work *queue, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work, e.draining
}

// expiry is the time at which the sender of a request gives up; zero if it does not tell.
func expiry(header http.Header) time.Time {
	milliseconds, err := strconv.ParseInt(header.Get(timeLeftHeader), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}
