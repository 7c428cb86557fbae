package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"oakproxy/balancer"
	"oakproxy/internal/admin"
	"oakproxy/internal/config"
	"oakproxy/internal/handover"
	"oakproxy/internal/warmstart"
)

// Run serves requests until ctx ends. It then finishes the requests that it has admitted and returns. Any number of
// configurations may be sent to reloads at any time. Each is put in force or rejected before the next one is received.
// Run returns an error if an address cannot be opened, the configuration is invalid or the clients' listener fails.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan *config.Config, log *slog.Logger) error {
	listener, err := handover.Listen(ctx, cfg.ListenAddress, cfg.InheritedSocket)
	if err != nil {
		return err
	}
	var adminListener net.Listener
	if cfg.AdminAddress != "" {
		if adminListener, err = admin.Listen(ctx, cfg.AdminAddress); err != nil {
			listener.Close()
			return err
		}
		defer adminListener.Close()
	}
	// The loop must outlive ctx because requests in flight still need it.
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	l, err := newLoop(loopCtx, cfg, log)
	if err != nil {
		listener.Close()
		return err
	}
	go func() {
		for newCfg := range reloads {
			l.events.runUrgent(func(balancer.Micros) { l.reload(newCfg) })
		}
	}()
	if cfg.InheritedSocket != "" { // processes of this sidecar share the socket and may take over from each other
		store := warmstart.NewStore(loopCtx, cfg.Name, cfg.Host, log)
		l.warmStart, l.saveEstimates = store.Load(l.clock.now()), store.Save
	}
	s := newServer(l)
	s.setProcessCount(1)
	if cfg.InheritedSocket != "" {
		s.shareIDs(cfg.Host.Directory)
		s.acquireSlot(ctx, cfg.Host.Directory)
		go s.followPeers(loopCtx, cfg.Host.Directory)
	}
	if adminListener != nil {
		store := s.newOperatorStore()
		s.restoreOperatorState(loopCtx, store)
		adminServer := admin.NewServer(s, store, log)
		// The error is ignored: if the admin listener fails, clients are still served.
		go func() { _ = adminServer.Serve(loopCtx, adminListener) }()
	}
	defer l.upstream.SetMaxConnections(0) // closes idle connections: the process may outlive the sidecar
	return s.serve(ctx, listener)
}

// serve starts the loop and accepts clients' connections until ctx ends. It then shuts the server down.
func (s *server) serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	go s.loop.run()
	go s.closeIdleWhileDraining(s.loop.ctx)
	served := make(chan error, 1)
	go func() {
		if s.awaitTurn() {
			served <- s.http.Serve(s.clients)
		}
	}()
	select {
	case err := <-served:
		s.log.Error("listener failed", "error", err)
		s.terminate()
		return fmt.Errorf("serve clients' connections: %w", err)
	case <-ctx.Done():
	}
	s.terminate()
	return nil
}
