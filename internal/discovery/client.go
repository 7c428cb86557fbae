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

// MaxListBytes is the longest answer that is read. A longer one is malformed.
const MaxListBytes = 8 << 20

// maxConnections is the number of connections to discovery. A watch has one; a second may overlap while one watch
// ends and the next begins.
const maxConnections = 2

// errIncompleteList is the error of an answer with changes only where the complete list was asked for.
var errIncompleteList = errors.New("discovery's answer: changes, where the whole list was asked for")

// Client calls the service that lists endpoints. Make one with NewClient. Its methods may be called by several
// goroutines.
type Client struct {
	HTTP                http.Client
	RetryDelay          time.Duration // mean pause after a failed call where lists are pushed; 0 where they are polled
	VersionResetTimeout time.Duration // without a list, after which an older version is accepted

	url         string
	watchWait   time.Duration // that calls of a watch wait for a change, before jitter
	callTimeout time.Duration // of a call that does not wait for a change
}

// Options are the settings of a Client.
type Options struct {
	Address      string        // host:port of the service
	PollInterval time.Duration // the longest that a list may be in use without a watch or a call
	DrainGrace   time.Duration // after which no request may be sent to an endpoint that is draining
	Subscribe    bool          // lists are polled and watched by the balancer's decision; otherwise they are pushed
	Wait         time.Duration // that calls of a watch wait for a change; 0: by PollInterval

	// Dial connects to the service; nil: the network's dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client of the service at o.Address. It makes no call.
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

// fetch makes one call. With after it asks for what is newer than that version, which may be 0, and has discovery
// wait for a change for as long as wait; without, it asks for the complete list. The error is a MalformedError where
// an answer arrived that cannot be used.
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
		return List{}, err // an url.Error, which names the call
	}
	defer response.Body.Close()
	list, err := readList(response)
	if err == nil && after == nil && !list.Complete {
		err = &MalformedError{errIncompleteList}
	}
	return list, err
}

// readList reads the list in an answer.
func readList(response *http.Response) (List, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxListBytes+1))
	if err != nil {
		return List{}, fmt.Errorf("read discovery's answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("discovery answered %s", response.Status)
	}
	if len(body) > MaxListBytes {
		return List{}, &MalformedError{fmt.Errorf("discovery's answer is over %d bytes", MaxListBytes)}
	}
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return List{}, &MalformedError{fmt.Errorf("discovery's answer: %w", err)}
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		list.date = date
	}
	return list, nil
}
