package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// MaxListBytes is the maximum size of an answer in bytes. A larger answer is malformed.
const MaxListBytes = 8 << 20

// maxConnections is the maximum number of connections to discovery. A watch uses one connection; a second one is needed
// when a watch begins while the previous watch is still ending.
const maxConnections = 2

// errIncompleteList is the error for an answer that contains only changes although the complete list was requested.
var errIncompleteList = errors.New("discovery's answer has only changes, but the complete list was requested")

// Client calls the service that lists endpoints. NewClient creates one. Several goroutines may call its methods at the
// same time.
type Client struct {
	HTTP                http.Client
	RetryDelay          time.Duration // mean pause after a failed call if lists are pushed; 0 if they are polled
	VersionResetTimeout time.Duration // time without a list after which an older version is accepted

	url         string        // URL of a call for the complete list
	watchWait   time.Duration // longest time that a call of a watch waits for a change; jitter shortens each wait
	callTimeout time.Duration // timeout of a call that does not wait for a change
}

// Options are the settings of a Client.
type Options struct {
	Address      string        // host:port of the service
	PollInterval time.Duration // maximum time that a list may be in use without a watch or a call
	DrainGrace   time.Duration // time after an endpoint begins to drain, from which no request may be sent to it
	Subscribe    bool          // whether the balancer decides when to poll and watch; otherwise lists are pushed
	Wait         time.Duration // how long calls of a watch wait for a change; 0 to derive the time from PollInterval

	// Dial connects to the service. If it is nil, the standard dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a Client of the service at o.Address. It does not call the service.
func NewClient(o Options) *Client {
	transport := &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: maxConnections, DialContext: o.Dial}
	c := &Client{
		HTTP:                http.Client{Transport: transport},
		VersionResetTimeout: versionResetPolls * o.PollInterval,
		url:                 "http://" + o.Address + "/registry/instances",
		watchWait:           watchWait(o.PollInterval),
		callTimeout:         callTimeout,
	}
	if o.Wait > 0 {
		c.watchWait = o.Wait
	}
	if !o.Subscribe {
		c.callTimeout, c.RetryDelay = pushedCallTimeout(o.DrainGrace), pushedRetryDelay(o.DrainGrace)
	}
	return c
}

// fetch makes one call. If after is nil, it requests the complete list. Otherwise, it requests the changes since
// version *after, which may be 0, and asks discovery to wait for a change if there are none. The parameter wait is the
// longest time for which discovery is asked to wait; it may be 0. The error is a *MalformedError if an answer with
// status 200 arrived but cannot be used.
func (c *Client) fetch(ctx context.Context, after *uint64, wait time.Duration) (List, error) {
	timeout := c.callTimeout
	if wait > 0 {
		timeout = wait + WatchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := c.url
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", c.url, *after, wait.Milliseconds())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return List{}, err // a *url.Error, which names the URL
	}
	defer response.Body.Close()
	list, err := readList(response)
	if err == nil && after == nil && !list.Complete {
		err = &MalformedError{errIncompleteList}
	}
	return list, err
}

// readList returns the list in an answer.
func readList(response *http.Response) (List, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxListBytes+1))
	if err != nil {
		return List{}, fmt.Errorf("read discovery's answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("discovery answered with status %s", response.Status)
	}
	if len(body) > MaxListBytes {
		return List{}, &MalformedError{fmt.Errorf("discovery's answer is larger than %d bytes", MaxListBytes)}
	}
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return List{}, &MalformedError{fmt.Errorf("parse discovery's answer: %w", err)}
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		list.date = date
	}
	return list, nil
}
