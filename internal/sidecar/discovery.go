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

// registry is a list of endpoints, or of changes, in discovery's form.
type registry struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`

	lost  int       // entries that could not be used
	fault error     // of the first of them
	date  time.Time // by the clock of discovery, to the second; zero where it did not say
}

type host struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"`
	Health string  `json:"health"`
	Share  float32 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var states = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// check finds what keeps an entry from being used.
func (h *host) check() error {
	state, ok := states[h.Health]
	switch {
	case h.Name == "":
		return errors.New("host is missing")
	case !ok:
		return fmt.Errorf("health: %q is not a known state", h.Health)
	case state == balancer.Ready:
		if _, _, err := net.SplitHostPort(h.Dial); err != nil {
			return fmt.Errorf("dial: %q is not host:port", h.Dial)
		}
	}
	return nil
}

// UnmarshalJSON reads a list entry by entry: one that can't be used does not cost the
// others. An endpoint that it names is left with what it has, as it may no longer be
// ready. Where no entry can be used, none of them is worth believing.
func (r *registry) UnmarshalJSON(data []byte) error {
	var list struct {
		Seq   *uint64           `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if list.Seq == nil {
		return errors.New("seq is missing")
	}
	*r = registry{Seq: *list.Seq, Whole: list.Whole, Hosts: make([]host, 0, len(list.Hosts))}
	for i, raw := range list.Hosts {
		var h host
		err := json.Unmarshal(raw, &h)
		if err == nil {
			err = h.check()
		}
		if err != nil {
			if r.lost++; r.fault == nil {
				r.fault = fmt.Errorf("hosts[%d]: %w", i, err)
			}
			if h.Name == "" {
				continue
			}
			h = host{Name: h.Name, Health: "Terminating"}
		}
		r.Hosts = append(r.Hosts, h)
	}
	if r.lost > 0 && r.lost == len(list.Hosts) {
		return fmt.Errorf("no entry can be used: %w", r.fault)
	}
	return nil
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

func newDiscovery(cfg *Config) *discovery {
	d := &discovery{url: "http://" + cfg.Discovery + "/registry/instances", patience: listPatience,
		older:  olderPeriods * time.Duration(cfg.Settings.Contract.PollInterval) * time.Microsecond,
		client: http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: cfg.dial}}}
	d.wait = max(minWait, min(maxWait, time.Duration(cfg.Settings.Contract.PollInterval)*time.Microsecond-toldAfterWait))
	if cfg.wait > 0 {
		d.wait = cfg.wait
	}
	if !cfg.Settings.SubscribeToDiscovery {
		d.patience, d.rest = pushedTimes(time.Duration(cfg.Settings.Contract.DrainGrace) * time.Microsecond)
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

// minSkew is how far the clocks of discovery and of this process must be apart to be told so: discovery's date is cut to
// the second, and its answer takes a while.
const minSkew = 2 * time.Second

// skew is how far the clock by which a list tells starts is ahead of the loop's, as far as the list lets it be known.
func (r *registry) skew(now balancer.Micros) balancer.Micros {
	if r.date.IsZero() {
		return 0
	}
	if skew := r.date.UnixMicro() - now; skew > minSkew.Microseconds() || skew < -minSkew.Microseconds() {
		return skew
	}
	return 0
}
