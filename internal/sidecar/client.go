package sidecar

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
)

const (
	maxListBytes = 8 << 20 // bytes of a list

	// A call is held for news so long that, should it fall silent, its change is heard of in time
	// all the same, and never for so long that a list is older than the settings allow one without
	// a watch; less of it now and then, so that sidecars that began together do not go on in step.
	minWait       = time.Second
	waitSpread    = 4 // a part of the wait
	toldAfterWait = 2 * time.Second

	// The balancer's parts of the time for hearing of a change.
	maxWait       = time.Duration(balancer.WatchDuration) * time.Microsecond
	watchPatience = time.Duration(balancer.WatchGrace) * time.Microsecond
	listPatience  = time.Duration(balancer.DiscoveryCallTimeout) * time.Microsecond

	// A discovery that has lost its versions begins to count anew. An older version is not
	// believed for as long as a failed call stands for its watch, or, after SIGHUP, for most
	// of the time in which a new address has to be followed.
	olderPeriods = 4 // of ask-within
	olderMoved   = 3 * time.Second

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

// discovery calls the service that lists endpoints.
type discovery struct {
	url      string
	client   http.Client
	wait     time.Duration // that a call is held at most without news
	patience time.Duration // with a call that asks at once
	rest     time.Duration // after a failure, about, where lists are pushed
	older    time.Duration // without a list, until an older version is taken for a new numbering
}

// malformedError is an answer that can't be used. What it should have told counts as told.
type malformedError struct{ error }

func (e *malformedError) Unwrap() error { return e.error }

// errOlder is an answer of a version older than what is held.
var errOlder = errors.New("older than the list that is held")

// discoveryOptions are the settings of a client of discovery.
type discoveryOptions struct {
	address      string
	pollInterval time.Duration
	drainGrace   time.Duration
	subscribe    bool                                                                 // lists are asked for; otherwise they are pushed
	wait         time.Duration                                                        // that a call waits for news; 0: by the poll interval
	dial         func(ctx context.Context, network, address string) (net.Conn, error) // nil: by the network
}

func newDiscovery(o discoveryOptions) *discovery {
	d := &discovery{url: "http://" + o.address + "/registry/instances", patience: listPatience,
		older:  olderPeriods * o.pollInterval,
		client: http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: o.dial}}}
	d.wait = max(minWait, min(maxWait, o.pollInterval-toldAfterWait))
	if o.wait > 0 {
		d.wait = o.wait
	}
	if !o.subscribe {
		d.patience, d.rest = pushedTimes(o.drainGrace)
	}
	return d
}

// list makes one call. With after it asks for what is newer than that version,
// which may be 0, and waits for news as long as wait; without, for the whole list.
func (d *discovery) list(ctx context.Context, after *uint64, wait time.Duration) (registry, error) {
	patience := d.patience
	if wait > 0 {
		patience = wait + watchPatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := d.url
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, *after, wait.Milliseconds())
	}
	var list registry
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return list, err
	}
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", response.Status)
	}
	if len(body) > maxListBytes {
		return list, &malformedError{fmt.Errorf("discovery's answer is over %d bytes", maxListBytes)}
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, &malformedError{fmt.Errorf("discovery's answer: %w", err)}
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		list.date = date
	}
	if after == nil && !list.Whole {
		return list, &malformedError{errors.New("discovery's answer: changes, where the whole list was asked for")}
	}
	return list, nil
}

// position is what a watch goes on from.
type position struct {
	after  *uint64   // the version to ask for what is newer than; nil: for the whole list
	newest uint64    // that is held
	settle time.Time // from then on an older one is taken for a new numbering
}

// watch reports what discovery tells until a call fails. The first call does not wait
// for news: its answer is the balancer's sign that the watch has begun. An answer that
// can't be used is asked for once more before that counts as a failure.
func (d *discovery) watch(ctx context.Context, from position, heard func(registry), malformed func(error)) error {
	repeated := false
	for wait := time.Duration(0); ; pause(ctx, watchPause) {
		list, err := d.list(ctx, from.after, wait)
		if err == nil && list.Seq < from.newest {
			if from.after = nil; !list.Whole || time.Now().Before(from.settle) {
				err = &malformedError{fmt.Errorf("discovery's answer: version %d is %w, %d", list.Seq, errOlder, from.newest)}
			}
		}
		var bad *malformedError
		if errors.As(err, &bad) && !repeated {
			malformed(err)
			repeated, wait = true, 0
			pause(ctx, jittered(agentPause))
			continue
		}
		if err != nil {
			return err
		}
		heard(list)
		from = position{&list.Seq, list.Seq, time.Now().Add(d.older)}
		repeated, wait = false, d.wait-rand.N(d.wait/waitSpread)
	}
}

// jittered is d, half of it to one and a half, so that sidecars do not go in step.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(max(1, d)) }
