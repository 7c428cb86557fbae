package worker

import (
	"context"
	"errors"
	"sync"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/load"
)

// loadPlayer sends requests as applications do.
type loadPlayer struct {
	mu   sync.Mutex
	stop context.CancelFunc // of the plans that are carried out; nil: none are
}

func (p *loadPlayer) handlers() control.Handlers {
	return control.Handlers{
		SendLoad: control.Handle(p.send),
		StopLoad: control.Handle(p.stopSending),
	}
}

func (p *loadPlayer) close() {}

// begin returns the context of plans that are to be carried out.
func (p *loadPlayer) begin(ctx context.Context) (context.Context, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		return nil, errors.New("other plans are being carried out")
	}
	ctx, p.stop = context.WithCancel(ctx)
	return ctx, nil
}

func (p *loadPlayer) stopSending(context.Context, control.Empty) (control.Empty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		p.stop()
		p.stop = nil
	}
	return control.Empty{}, nil
}

// send carries both plans out at the same time.
func (p *loadPlayer) send(ctx context.Context, plans LoadPlans) (LoadReports, error) {
	ctx, err := p.begin(ctx)
	if err != nil {
		return LoadReports{}, err
	}
	defer p.stopSending(ctx, control.Empty{})
	direct := make(chan sent, 1)
	go func() { direct <- carryOut(ctx, plans.Direct) }()
	through := carryOut(ctx, plans.Through)
	straight := <-direct
	return LoadReports{through.report, straight.report}, errors.Join(through.err, straight.err)
}

// sent is what came of a plan.
type sent struct {
	report *load.Report
	err    error
}

// carryOut carries a plan out, unless it has no targets.
func carryOut(ctx context.Context, plan load.Plan) (s sent) {
	if len(plan.Targets) > 0 {
		s.report, s.err = load.Run(ctx, plan)
	}
	return s
}
