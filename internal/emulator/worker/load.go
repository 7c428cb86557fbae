package worker

import (
	"context"
	"errors"
	"sync"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/load"
)

// errLoadRunning is returned for plans that are to run while others do.
var errLoadRunning = errors.New("other plans are running")

// loadService is the load role: it sends requests as applications do.
type loadService struct {
	mu     sync.Mutex
	cancel context.CancelFunc // of the plans that run; nil: none do
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

// close has nothing to do: plans end with the context of their request.
func (s *loadService) close() {}

// start returns the context of plans that are about to run. Only stop releases it.
func (s *loadService) start(ctx context.Context) (context.Context, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return nil, errLoadRunning
	}
	ctx, s.cancel = context.WithCancel(ctx)
	return ctx, nil
}

// stop ends the plans that run, if any do.
func (s *loadService) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
}

// send runs both plans at the same time.
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

// planResult is the outcome of a plan. The report is nil for a plan without targets.
type planResult struct {
	report *load.Report
	err    error
}

// runPlan runs a plan, unless it has no targets.
func runPlan(ctx context.Context, plan load.Plan) planResult {
	if len(plan.Targets) == 0 {
		return planResult{}
	}
	report, err := load.Run(ctx, plan)
	return planResult{report: report, err: err}
}
