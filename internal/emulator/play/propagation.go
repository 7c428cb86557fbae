package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// propagationTimeout is how long a version of the endpoint list may take to reach a sidecar until it counts
// as missing.
const propagationTimeout = 10 * time.Second

// propagation collects how long versions of the endpoint list took to reach sidecars.
type propagation struct {
	delays  []time.Duration
	missing int
}

func (p *propagation) distribution(what string) result.Distribution {
	return result.NewDistribution(what, len(p.delays)+p.missing, p.delays)
}

func (p *propagation) add(other propagation) {
	p.delays = append(p.delays, other.delays...)
	p.missing += other.missing
}

// awaitList waits until every simulated sidecar has received a version of the list.
func (r *runner) awaitList(ctx context.Context, version worker.ListVersion, times *propagation) error {
	request := worker.AwaitRequest{Version: version.Number, Timeout: propagationTimeout}
	received, err := callAll[worker.Completions](ctx, r.sidecarWorkers, worker.AwaitList, request)
	if err != nil {
		return err
	}
	for _, completions := range received {
		times.missing += len(completions.Missing)
		for _, completion := range completions.Completed {
			// A sidecar that started later got the version with its first list.
			if completion.StartedAt.Before(version.CreatedAt) {
				times.delays = append(times.delays, completion.At.Sub(version.CreatedAt))
			}
		}
	}
	return nil
}
