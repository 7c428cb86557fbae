package endpoint

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"oakproxy/internal/emulator/emulatortest"
)

// start starts an endpoint on a loopback port that the operating system chooses, and closes it after the test.
func start(t *testing.T, config Config) *Endpoint {
	t.Helper()
	config.Name, config.Address = "s-1", "127.0.0.1:0"
	e, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustSucceed(t, e.Close) })
	return e
}

func mustSucceed(t *testing.T, do func() error) {
	t.Helper()
	if err := do(); err != nil {
		t.Fatal(err)
	}
}

// requestResult is the response to a request, or the error that the client got.
type requestResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// client sends requests to an endpoint on persistent connections.
type client struct {
	http.Client
	t       *testing.T
	address string
}

func newClient(t *testing.T, e *Endpoint) *client {
	c := &client{t: t, address: e.Address()}
	c.Transport = &http.Transport{}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func (c *client) send(method, path, id string) requestResult {
	request, err := http.NewRequest(method, "http://"+c.address+path, strings.NewReader("body"))
	if err != nil {
		return requestResult{err: err}
	}
	if method == http.MethodGet {
		request.Body = http.NoBody
	}
	if id != "" {
		request.Header.Set(correlationIDHeader, id)
	}
	response, err := c.Do(request)
	if err != nil {
		return requestResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return requestResult{response.StatusCode, response.Header, string(body), err}
}

// expect sends a request and checks the response status. A 503 response to a request with an ID must carry the header
// that says that the request was not processed; other responses must not carry it.
func (c *client) expect(status int, path, id string) {
	c.t.Helper()
	got := c.send(http.MethodGet, path, id)
	rejected := got.header.Get(unprocessedHeader) == "1"
	if got.status != status || rejected != (status == http.StatusServiceUnavailable && id != "") {
		c.t.Errorf("%s: got %+v, want status %d and %s: 1 only with a 503 to a request with an ID",
			path, got, status, unprocessedHeader)
	}
}

// sendAsync sends a request in the background.
func (c *client) sendAsync(id string) <-chan requestResult {
	result := make(chan requestResult, 1)
	go func() { result <- c.send(http.MethodPost, "/checkout", id) }()
	return result
}

// awaitInFlight waits until the load report of the endpoint is wantReport, such as "inflight=1".
func awaitInFlight(t *testing.T, e *Endpoint, wantReport string) {
	t.Helper()
	emulatortest.Await(t, wantReport, func() bool { return e.loadReport() == wantReport })
}
