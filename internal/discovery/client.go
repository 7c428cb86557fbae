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

// Client calls the service that lists endpoints.
type Client struct {
	url                 string
	HTTP                http.Client
	wait                time.Duration // that a call is held at most without news
	patience            time.Duration // with a call that asks at once
	RetryDelay          time.Duration // after a failure, about, where lists are pushed
	VersionResetTimeout time.Duration // without a list, until an older version is taken for a new numbering
}

// Options are the settings of a client of discovery.
type Options struct {
	Address      string
	PollInterval time.Duration
	DrainGrace   time.Duration
	Subscribe    bool                                                                 // lists are asked for; otherwise they are pushed
	Wait         time.Duration                                                        // that a call waits for news; 0: by the poll interval
	Dial         func(ctx context.Context, network, address string) (net.Conn, error) // nil: by the network
}

func NewClient(o Options) *Client {
	d := &Client{url: "http://" + o.Address + "/registry/instances", patience: listPatience,
		VersionResetTimeout: olderPeriods * o.PollInterval,
		HTTP:                http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: o.Dial}}}
	d.wait = max(minWait, min(maxWait, o.PollInterval-toldAfterWait))
	if o.Wait > 0 {
		d.wait = o.Wait
	}
	if !o.Subscribe {
		d.patience, d.RetryDelay = pushedTimes(o.DrainGrace)
	}
	return d
}

// list makes one call. With after it asks for what is newer than that version,
// which may be 0, and waits for news as long as wait; without, for the whole list.
func (d *Client) list(ctx context.Context, after *uint64, wait time.Duration) (List, error) {
	patience := d.patience
	if wait > 0 {
		patience = wait + WatchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := d.url
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, *after, wait.Milliseconds())
	}
	var list List
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	response, err := d.HTTP.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxListBytes+1))
	if err != nil {
		return list, err
	}
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", response.Status)
	}
	if len(body) > MaxListBytes {
		return list, &MalformedError{fmt.Errorf("discovery's answer is over %d bytes", MaxListBytes)}
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, &MalformedError{fmt.Errorf("discovery's answer: %w", err)}
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		list.date = date
	}
	if after == nil && !list.Whole {
		return list, &MalformedError{errors.New("discovery's answer: changes, where the whole list was asked for")}
	}
	return list, nil
}
