package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/system"
)

const (
	MaxListBytes = 8 << 20 // bytes of a list

	// A call is held for news so long that, should it fall silent, its change is heard of in time
	// all the same, and never for so long that a list is older than the settings allow one without
	// a watch; less of it now and then, so that sidecars that began together do not go on in step.
	minWait       = time.Second
	waitSpread    = 4 // a part of the wait
	toldAfterWait = 2 * time.Second

	// The balancer's parts of the time for hearing of a change.
	maxWait      = time.Duration(balancer.WatchDuration) * time.Microsecond
	WatchGrace   = time.Duration(balancer.WatchGrace) * time.Microsecond
	listPatience = time.Duration(balancer.DiscoveryCallTimeout) * time.Microsecond

	// A discovery that has lost its versions begins to count anew. An older version is not
	// believed for as long as a failed call stands for its watch, or, after SIGHUP, for most
	// of the time in which a new address has to be followed.
	olderPeriods      = 4 // of ask-within
	MovedVersionGrace = 3 * time.Second

	// A watch ends when its next call comes later than 200 ms after the last
	// answer; calls without any pause could become a flood.
	watchPause = 20 * time.Millisecond

	// Where lists are pushed, an agent has them at hand and what it has counts as told: whatever
	// the grace on drains, a call that gets no answer is not worth waiting for beyond a part of
	// that, nor is the pause after a failure.
	agentPatience = 200 * time.Millisecond // at least: the sidecar may be short of its core
	agentPause    = 50 * time.Millisecond  // at least
)

// pushedTimes returns how long a call may take and how long a pause lasts where lists are pushed.
func pushedTimes(grace time.Duration) (patience, rest time.Duration) {
	return max(agentPatience, min(grace/2, time.Second)), max(agentPause, min(grace/8, time.Second))
}

// Client calls the service that lists endpoints.
type Client struct {
	url                 string
	HTTP                http.Client
	wait                time.Duration // that a call is held at most without news
	patience            time.Duration // with a call that asks at once
	RetryDelay          time.Duration // after a failure, about, where lists are pushed
	VersionResetTimeout time.Duration // without a list, until an older version is taken for a new numbering
}

// MalformedError is an answer that can't be used. What it should have told counts as told.
type MalformedError struct{ error }

func (e *MalformedError) Unwrap() error { return e.error }

// ErrOutdated is an answer of a version older than what is held.
var ErrOutdated = errors.New("older than the list that is held")

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

// Position is what a watch goes on from.
type Position struct {
	After          *uint64   // the version to ask for what is newer than; nil: for the whole list
	Newest         uint64    // that is held
	VersionResetAt time.Time // from then on an older one is taken for a new numbering
}

// Watch reports what discovery tells until a call fails. The first call does not wait
// for news: its answer is the balancer's sign that the watch has begun. An answer that
// can't be used is asked for once more before that counts as a failure.
func (d *Client) Watch(ctx context.Context, from Position, heard func(List), malformed func(error)) error {
	repeated := false
	for wait := time.Duration(0); ; system.Sleep(ctx, watchPause) {
		list, err := d.list(ctx, from.After, wait)
		if err == nil && list.Seq < from.Newest {
			if from.After = nil; !list.Whole || time.Now().Before(from.VersionResetAt) {
				err = &MalformedError{fmt.Errorf("discovery's answer: version %d is %w, %d", list.Seq, ErrOutdated, from.Newest)}
			}
		}
		var bad *MalformedError
		if errors.As(err, &bad) && !repeated {
			malformed(err)
			repeated, wait = true, 0
			system.Sleep(ctx, Jitter(agentPause))
			continue
		}
		if err != nil {
			return err
		}
		heard(list)
		from = Position{&list.Seq, list.Seq, time.Now().Add(d.VersionResetTimeout)}
		repeated, wait = false, d.wait-rand.N(d.wait/waitSpread)
	}
}

// Jitter is d, half of it to one and a half, so that sidecars do not go in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(max(1, d)) }
