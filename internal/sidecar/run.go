package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/admin"
	"oakproxy/internal/config"
	"oakproxy/internal/handover"
	"oakproxy/internal/warmstart"
)

// Run serves until ctx ends, then answers the requests that it has admitted and returns. Any number of new
// configurations may come at any time; each is in force, or rejected, by the time that the next one is received. The
// error says that an address could not be opened, that the configuration is invalid or that the listener failed.
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
	// The loop outlives ctx: requests in flight still need it.
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	l, err := newLoop(loopCtx, cfg, log)
	if err != nil {
		listener.Close()
		return err
	}
	go func() {
		for cfg := range reloads {
			l.events.runUrgent(func(balancer.Micros) { l.reload(cfg) })
		}
	}()
	if cfg.InheritedSocket != "" { // another process may take over
		store := warmstart.NewStore(loopCtx, cfg.Name, cfg.Host, log)
		l.warmStart, l.saveEstimates = store.Load(l.clock.now()), store.Save
	}
	s := newServer(l)
	s.setProcessCount(1)
	if cfg.InheritedSocket != "" {
		s.acquireSlot(ctx, cfg.Host.Directory)
		go s.followPeers(loopCtx, cfg.Host.Directory)
	}
	if adminListener != nil {
		store := s.newOperatorStore()
		s.restoreOperatorState(loopCtx, store)
		adminServer := admin.NewServer(s, store, log)
		// The clients' side serves on without the calls, so why their listener ended changes nothing.
		go func() { _ = adminServer.Serve(loopCtx, adminListener) }()
	}
	defer l.upstream.SetMaxConnections(0) // the process may live on: idle connections end with the sidecar
	return s.serve(ctx, listener)
}

// serve runs the loop and takes clients' connections until ctx ends, then shuts down.
func (s *server) serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	go s.loop.run()
	go s.closeIdleWhileDraining(s.loop.ctx)
	served := make(chan error, 1)
	go func() {
		// A process that takes over leaves clients to the other one until it can serve them.
		for s.hasPeer() && !s.loop.hasReadyEndpoint.Load() && ctx.Err() == nil {
			time.Sleep(sweepInterval)
		}
		if ctx.Err() == nil {
			served <- s.http.Serve(s.clients)
		}
	}()
	select {
	case err := <-served:
		s.log.Error("listener failed", "error", err)
		s.terminate()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.terminate()
	return nil
}
