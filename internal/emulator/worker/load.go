package worker

import (
	"context"
	"errors"
	"sync"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/load"
)

// loadService sends requests as applications do.
type loadService struct {
	mu     sync.Mutex
	cancel context.CancelFunc // of the plans that are carried out; nil: none are
}

func (p *loadService) handlers() control.Handlers {
	return control.Handlers{
		SendLoad: control.Handle(p.send),
		StopLoad: control.Handle(p.stopSending),
	}
}

func (p *loadService) close() {}

// start returns the context of plans that are to be carried out.
func (p *loadService) start(ctx context.Context) (context.Context, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		return nil, errors.New("other plans are being carried out")
	}
	ctx, p.cancel = context.WithCancel(ctx)
	return ctx, nil
}

func (p *loadService) stopSending(context.Context, control.Empty) (control.Empty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	return control.Empty{}, nil
}

// send carries both plans out at the same time.
func (p *loadService) send(ctx context.Context, plans LoadPlans) (LoadReports, error) {
	ctx, err := p.start(ctx)
	if err != nil {
		return LoadReports{}, err
	}
	defer p.stopSending(ctx, control.Empty{})
	direct := make(chan planResult, 1)
	go func() { direct <- runPlan(ctx, plans.Direct) }()
	through := runPlan(ctx, plans.Proxied)
	straight := <-direct
	return LoadReports{through.report, straight.report}, errors.Join(through.err, straight.err)
}

// planResult is what came of a plan.
type planResult struct {
	report *load.Report
	err    error
}

// runPlan carries a plan out, unless it has no targets.
func runPlan(ctx context.Context, plan load.Plan) (s planResult) {
	if len(plan.Targets) > 0 {
		s.report, s.err = load.Run(ctx, plan)
	}
	return s
}
