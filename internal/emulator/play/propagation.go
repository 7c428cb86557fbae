package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// propagationTimeout is how long the emulator waits for a version of the endpoint list to reach all sidecars. A
// sidecar that has not received the version by then is recorded as missing.
const propagationTimeout = 10 * time.Second

// propagation collects how long versions of the endpoint list took to reach sidecars, and how often a sidecar did not
// receive a version within propagationTimeout.
type propagation struct {
	delays  []time.Duration
	missing int
}

// distribution returns the distribution of the delays under a name.
func (p *propagation) distribution(name string) result.Distribution {
	return result.NewDistribution(name, len(p.delays)+p.missing, p.delays)
}

// add adds the measurements of another collection.
func (p *propagation) add(other propagation) {
	p.delays = append(p.delays, other.delays...)
	p.missing += other.missing
}

// awaitList waits until every simulated sidecar has received a version of the endpoint list, for at most
// propagationTimeout, and adds the delays and the missing sidecars to collected.
func (r *runner) awaitList(ctx context.Context, version worker.ListVersion, collected *propagation) error {
	request := worker.AwaitRequest{Version: version.Number, Timeout: propagationTimeout}
	received, err := callAll[worker.Completions](ctx, r.simulatedSidecarWorkers, worker.AwaitList, request)
	if err != nil {
		return err
	}
	for _, completions := range received {
		collected.missing += len(completions.Missing)
		for _, completion := range completions.Completed {
			// A sidecar that started after the version was created received the version in its first list, which is
			// complete. This belongs to the sidecar's startup and is not counted as propagation.
			if completion.StartedAt.Before(version.CreatedAt) {
				collected.delays = append(collected.delays, completion.At.Sub(version.CreatedAt))
			}
		}
	}
	return nil
}
