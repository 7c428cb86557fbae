package worker

import (
	"context"
	"errors"
	"sync"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/load"
)

// errLoadRunning is returned for a request to run plans while earlier plans are running.
var errLoadRunning = errors.New("other load plans are already running")

// loadService implements the load role: it sends requests as applications do.
type loadService struct {
	mu     sync.Mutex
	cancel context.CancelFunc // cancels the running plans; nil if no plans are running
}

func (s *loadService) handlers() control.Handlers {
	return control.Handlers{
		SendLoad: control.Handle(s.send),
		StopLoad: control.Handle(func(context.Context, control.Empty) (control.Empty, error) {
			s.stop()
			return control.Empty{}, nil
		}),
	}
}

// close does nothing: plans end when the context of their request is cancelled.
func (s *loadService) close() {}

// start returns the context for plans that are about to run. The caller must call stop after the plans have ended.
func (s *loadService) start(ctx context.Context) (context.Context, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return nil, errLoadRunning
	}
	ctx, s.cancel = context.WithCancel(ctx)
	return ctx, nil
}

// stop ends the running plans, if there are any.
func (s *loadService) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
}

// send runs the proxied and the direct plan concurrently.
func (s *loadService) send(ctx context.Context, plans LoadPlans) (LoadReports, error) {
	ctx, err := s.start(ctx)
	if err != nil {
		return LoadReports{}, err
	}
	defer s.stop()
	directDone := make(chan planResult, 1)
	go func() { directDone <- runPlan(ctx, plans.Direct) }()
	proxied := runPlan(ctx, plans.Proxied)
	direct := <-directDone
	return LoadReports{Proxied: proxied.report, Direct: direct.report}, errors.Join(proxied.err, direct.err)
}

// planResult is the result of a plan. The report is nil if the plan has no targets or is invalid.
type planResult struct {
	report *load.Report
	err    error
}

// runPlan runs a plan. It does nothing for a plan without targets.
func runPlan(ctx context.Context, plan load.Plan) planResult {
	if len(plan.Targets) == 0 {
		return planResult{}
	}
	report, err := load.Run(ctx, plan)
	return planResult{report: report, err: err}
}
