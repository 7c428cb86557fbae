package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"oakproxy/internal/system"
)

// Position is the state from which a watch continues: the version in use, and the time until which older versions are
// rejected.
type Position struct {
	After          *uint64   // version since which to request changes; nil to request the complete list
	CurrentVersion uint64    // version of the list in use
	VersionResetAt time.Time // time from which an older complete list is accepted as the start of new version numbers
}

// check returns an error that wraps ErrOutdated if a list is older than the list in use and is not accepted as a
// restart of the version numbers. After any older list, check clears After, so that the next call requests the complete
// list: if the version numbers have restarted, changes since an earlier version are meaningless.
func (p *Position) check(list *List) error {
	if list.Version >= p.CurrentVersion {
		return nil
	}
	p.After = nil
	if list.Complete && !time.Now().Before(p.VersionResetAt) {
		return nil
	}
	return &MalformedError{fmt.Errorf("discovery's answer: version %d is %w, %d",
		list.Version, ErrOutdated, p.CurrentVersion)}
}

// Watch calls discovery repeatedly, and passes each list to onList, until a call fails or ctx is cancelled. It returns
// the error of the last call, which is never nil. The first call does not wait for a change: its answer tells the
// balancer that the watch has begun. After a malformed answer, Watch passes the error to onMalformed and repeats the
// call. A second malformed answer in a row is a failure.
func (c *Client) Watch(ctx context.Context, from Position, onList func(List), onMalformed func(error)) error {
	retried := false
	for wait := time.Duration(0); ; system.Sleep(ctx, watchPause) {
		list, err := c.fetch(ctx, from.After, wait)
		if err == nil {
			err = from.check(&list)
		}
		var malformed *MalformedError
		if errors.As(err, &malformed) && !retried {
			onMalformed(err)
			retried, wait = true, 0
			system.Sleep(ctx, Jitter(malformedRetryDelay))
			continue
		}
		if err != nil {
			return err
		}
		onList(list)
		from = Position{After: &list.Version, CurrentVersion: list.Version,
			VersionResetAt: time.Now().Add(c.VersionResetTimeout)}
		retried, wait = false, c.watchWait-rand.N(c.watchWait/watchWaitJitterDivisor)
	}
}
