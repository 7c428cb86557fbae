package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"oakproxy/internal/system"
)

// Position is where a watch continues: the version in use, and until when only newer ones are accepted.
type Position struct {
	After          *uint64   // the version to ask for changes since; nil: for the complete list
	Newest         uint64    // the version of the list in use
	VersionResetAt time.Time // from then on an older complete list is taken for a new numbering
}

// check returns an error that wraps ErrOutdated if a list is older than the one in use and is not to be taken for a
// new numbering. After an older list it continues with the complete one: changes since a version of another numbering
// have no meaning.
func (p *Position) check(list *List) error {
	if list.Version >= p.Newest {
		return nil
	}
	p.After = nil
	if list.Complete && !time.Now().Before(p.VersionResetAt) {
		return nil
	}
	return &MalformedError{fmt.Errorf("discovery's answer: version %d is %w, %d", list.Version, ErrOutdated, p.Newest)}
}

// Watch calls discovery again and again, and passes each list to onList, until a call fails or ctx ends. It returns the
// error of that call, which is never nil. The first call does not wait for a change: its answer tells the balancer that
// the watch has begun. A malformed answer is passed to onMalformed and asked for once more; a second one in a row is a
// failure.
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
		from = Position{After: &list.Version, Newest: list.Version, VersionResetAt: time.Now().Add(c.VersionResetTimeout)}
		retried, wait = false, c.watchWait-rand.N(c.watchWait/watchWaitJitterDivisor)
	}
}
