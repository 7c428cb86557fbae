package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"oakproxy/internal/system"
)

// Position is what a watch goes on from.
type Position struct {
	After          *uint64   // the version to ask for what is newer than; nil: for the whole list
	Newest         uint64    // that is held
	VersionResetAt time.Time // from then on an older one is taken for a new numbering
}

// Watch reports what discovery tells until a call fails. The first call does not wait
// for news: its answer is the balancer's sign that the watch has begun. An answer that
// can't be used is asked for once more before that counts as a failure.
func (d *Client) Watch(ctx context.Context, from Position, heard func(List), malformed func(error)) error {
	repeated := false
	for wait := time.Duration(0); ; system.Sleep(ctx, watchPause) {
		list, err := d.list(ctx, from.After, wait)
		if err == nil && list.Seq < from.Newest {
			if from.After = nil; !list.Whole || time.Now().Before(from.VersionResetAt) {
				err = &MalformedError{fmt.Errorf("discovery's answer: version %d is %w, %d", list.Seq, ErrOutdated, from.Newest)}
			}
		}
		var bad *MalformedError
		if errors.As(err, &bad) && !repeated {
			malformed(err)
			repeated, wait = true, 0
			system.Sleep(ctx, Jitter(agentPause))
			continue
		}
		if err != nil {
			return err
		}
		heard(list)
		from = Position{&list.Seq, list.Seq, time.Now().Add(d.VersionResetTimeout)}
		repeated, wait = false, d.wait-rand.N(d.wait/waitSpread)
	}
}
