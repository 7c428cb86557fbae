package endpoint

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

const (
	livePath  = "/health/live"
	statsPath = "/stats"

	correlationIDHeader = "X-Correlation-Id"
	remainingTimeHeader = "X-Time-Left-Ms"
	loadHeader          = "X-Backend-Load"
	unprocessedHeader   = "X-Unprocessed"
)

// serve handles the requests on a connection until it is closed.
func (e *Endpoint) serve(c *httpconn.Conn) {
	defer e.serving.Done()
	defer e.connections.Remove(c)
	defer c.Close()
	for e.serveNext(c) {
	}
}

// serveNext handles one request and reports whether the connection stays open.
func (e *Endpoint) serveNext(c *httpconn.Conn) bool {
	c.WakeAt(e.idleDeadline())
	if c.AwaitRequest() != nil {
		return false
	}
	c.WakeAt(time.Time{})
	e.pauseGate.Wait()
	request, err := c.ReadRequest()
	if err != nil {
		return false
	}
	return e.respond(c, request) == nil && !request.Close
}

// idleDeadline returns the time at which a connection that is idle from now on is closed; the zero time means never.
func (e *Endpoint) idleDeadline() time.Time {
	if e.config.IdleTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(e.config.IdleTimeout)
}

// respond handles one request or health check.
func (e *Endpoint) respond(c *httpconn.Conn, request *http.Request) error {
	if isHealthCheck(request) {
		return e.respondToHealthCheck(c, request.URL.Path)
	}
	e.counters.requests.Add(1)
	id := request.Header.Get(correlationIDHeader)
	if id == "" {
		e.counters.missingID.Add(1)
		return e.write(c, http.StatusNotFound, nil)
	}
	queue, draining := e.incarnation()
	t := &task{conn: c, deadline: parseDeadline(request.Header)}
	switch {
	case draining:
		return e.reject(c, http.StatusServiceUnavailable)
	case !t.deadline.IsZero() && !time.Now().Before(t.deadline):
		return e.reject(c, http.StatusGatewayTimeout)
	case !queue.admit(t):
		return e.reject(c, http.StatusServiceUnavailable)
	}
	if e.recentIDs.add(id) {
		e.counters.duplicates.Add(1)
	}
	return e.complete(c, queue, t, id)
}

// complete waits until the service time of an admitted task is over or the task has expired, and then writes the
// response. If the client disconnects or sends a byte before that, complete returns an error and writes no response.
func (e *Endpoint) complete(c *httpconn.Conn, q *queue, t *task, id string) error {
	err := c.AwaitWake()
	e.pauseGate.Wait()
	state := q.finish(t)
	switch {
	case err != nil:
		e.counters.abandoned.Add(1)
		return err
	case state == expired:
		return e.reject(c, http.StatusGatewayTimeout)
	}
	if err := e.write(c, http.StatusOK, []byte(e.config.Name+" "+id+"\n")); err != nil {
		return err
	}
	e.counters.served.Add(1)
	return nil
}

func isHealthCheck(request *http.Request) bool {
	return request.Method == http.MethodGet && (request.URL.Path == livePath || request.URL.Path == statsPath)
}

func (e *Endpoint) respondToHealthCheck(c *httpconn.Conn, path string) error {
	e.counters.healthChecks.Add(1)
	status := http.StatusOK
	if _, draining := e.incarnation(); draining {
		status = http.StatusServiceUnavailable
	}
	var body []byte
	if path == statsPath && e.config.ReportLoad {
		body = []byte(e.loadReport())
	}
	return e.write(c, status, body)
}

// reject responds to a request that the endpoint has not processed and will not process. The header X-Unprocessed
// tells the client so.
func (e *Endpoint) reject(c *httpconn.Conn, status int) error {
	e.counters.rejected.Add(1)
	return e.write(c, status, nil, httpconn.Field{Name: unprocessedHeader, Value: "1"})
}

func (e *Endpoint) write(c *httpconn.Conn, status int, body []byte, fields ...httpconn.Field) error {
	if e.config.ReportLoad {
		fields = append(fields, httpconn.Field{Name: loadHeader, Value: e.loadReport()})
	}
	return c.Write(httpconn.AppendResponse(nil, status, body, fields...))
}

// loadReport returns the load report of the current incarnation.
func (e *Endpoint) loadReport() string {
	queue, _ := e.incarnation()
	return e.config.LoadField + "=" + strconv.Itoa(queue.inFlight())
}

// parseDeadline returns the deadline of a request from the remaining time in its header; zero if the header holds no
// valid remaining time.
func parseDeadline(header http.Header) time.Time {
	milliseconds, err := strconv.ParseInt(header.Get(remainingTimeHeader), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}

// accept accepts and serves the connections of one incarnation until the incarnation ends.
func (e *Endpoint) accept(a *acceptor) {
	defer e.serving.Done()
	for {
		e.pauseGate.Wait()
		socket, err := a.accept()
		var timeout net.Error
		switch {
		case err == nil:
			e.serveConn(a, httpconn.New(socket, &e.traffic))
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &timeout) && timeout.Timeout(): // the endpoint is suspended
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// serveConn starts to serve a connection. It resets the connection if the incarnation that accepted it has ended.
func (e *Endpoint) serveConn(a *acceptor, c *httpconn.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.acceptor != a {
		c.Reset()
		return
	}
	e.connections.Add(c)
	e.serving.Add(1)
	go e.serve(c)
}
