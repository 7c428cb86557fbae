//go:build go1.25

package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The tests here run on a fake clock, with pipes in place of sockets.

const (
	toldSilent = 6 * time.Second       // by the protocol, after a watch fell silent,
	toldWaited = 2 * time.Second       // or after the wait of its call, if that is later
	slack      = 50 * time.Millisecond // that every limit is longer by on sockets
)

// pipes is a listener whose connections are pipes within the process.
type pipes struct {
	conns chan net.Conn
	end   chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), end: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.end) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case p.conns <- theirs:
		return ours, nil
	case <-p.end:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// asked is a call that the registry of a test took.
type asked struct {
	at     time.Time
	wait   time.Duration
	silent bool // it was never answered
}

// silence is a registry whose open calls fall silent when a test says so.
type silence struct {
	mu    sync.Mutex
	list  registry
	calls []asked
	mute  chan struct{} // closed: calls open then are never answered
}

func (s *silence) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.FormValue("wait_ms"))
	wait := time.Duration(ms) * time.Millisecond
	s.mu.Lock()
	i, mute := len(s.calls), s.mute
	s.calls = append(s.calls, asked{at: time.Now(), wait: wait})
	news := r.FormValue("after") != strconv.FormatUint(s.list.Seq, 10)
	s.mu.Unlock()
	if wait > 0 && !news {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		case <-mute:
			s.mu.Lock()
			s.calls[i].silent = true
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := registry{Seq: s.list.Seq, Hosts: []host{}}
	if news {
		answer = s.list
	}
	json.NewEncoder(w).Encode(answer)
}

// change sets the list without waking calls: those open miss it.
func (s *silence) change(list registry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// silenced makes all open calls silent and returns the last of them.
func (s *silence) silenced() asked {
	s.mu.Lock()
	close(s.mute)
	s.mute = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[len(s.calls)-1]
}

// bubble starts a loop that knows one endpoint and watches such a registry.
func bubble(t *testing.T, alter func(settings map[string]any)) (*loop, *silence) {
	t.Helper()
	listener := newPipes()
	dir := &silence{list: registry{Seq: 1, Whole: true, Hosts: []host{ready("s-1", "127.0.0.1:1")}}, mute: make(chan struct{})}
	server := &http.Server{Handler: dir, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go server.Serve(listener)
	ctx, stop := context.WithCancel(context.Background())
	cfg := configure(t, "127.0.0.1:1", alter, dir.list.Hosts...)
	cfg.known.Seq = 1
	l, err := newLoop(ctx, cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	l.disc.client.Transport.(*http.Transport).DialContext = listener.dial
	go l.run()
	t.Cleanup(func() {
		stop()
		server.Close()
		listener.Close()
		l.disc.client.CloseIdleConnections()
		synctest.Wait()
	})
	return l, dir
}

// barred says whether an attempt that is decided now would not be sent: its
// endpoint has no target, or a closed one.
func barred(l *loop, name string) bool {
	got := make(chan bool)
	l.post(func(int64) {
		id := l.ids[name]
		got <- id == 0 || l.fleet[id].target == nil
	})
	return <-got
}

// deployments are the ways in which the settings can word the rule on drains.
var deployments = map[string]func(map[string]any){
	"asked, grace 2 s":    func(s map[string]any) { contract(s)["drain-grace"] = 2_000_000 },
	"asked, grace 0.5 s":  func(s map[string]any) { contract(s)["drain-grace"] = 500_000 },
	"pushed, grace 0.5 s": func(s map[string]any) { s["discovery"] = "automatic"; contract(s)["drain-grace"] = 500_000 },
}

func contract(s map[string]any) map[string]any {
	c := s["contract"].(map[string]any)
	c["ask-within"] = 10_000_000
	return c
}

// An open watch falls silent, then an endpoint begins to drain and stays up: by the
// time that the change counts as told and the grace is over, nothing goes there.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	for name, alter := range deployments {
		for _, after := range []time.Duration{0, 3 * time.Second, 11 * time.Second} { // of the watch
			t.Run(name+", silent after "+after.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, dir := bubble(t, alter)
					grace := time.Duration(l.cfg.Settings.Contract.DrainGrace) * time.Microsecond
					for { // until the watch waits
						time.Sleep(time.Millisecond)
						dir.mu.Lock()
						waits := len(dir.calls) > 0 && dir.calls[len(dir.calls)-1].wait > 0
						dir.mu.Unlock()
						if waits {
							break
						}
					}
					time.Sleep(after)
					fell, open := time.Now(), dir.silenced()
					if !open.silent {
						t.Fatalf("the watch is not open: %+v", open)
					}
					draining := ready("s-1", "127.0.0.1:1")
					draining.Health = "Terminating"
					dir.change(registry{Seq: 2, Hosts: []host{draining}})
					told := slices.MaxFunc([]time.Time{fell.Add(toldSilent), open.at.Add(open.wait + toldWaited)}, time.Time.Compare)
					if barred(l, "s-1") {
						t.Fatal("nothing may go to the endpoint before the change was heard of")
					}
					time.Sleep(time.Until(told.Add(grace + slack)))
					if !barred(l, "s-1") {
						t.Errorf("sends still go to the endpoint %v after its drain counts as told", time.Since(told))
					}
				})
			})
		}
	}
}
