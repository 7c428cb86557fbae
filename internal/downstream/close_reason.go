package downstream

import (
	"fmt"
	"strings"
)

// closeReason says why a client's connection was closed.
type closeReason uint8

// The reasons for which a client's connection ends.
const (
	closedByClient        closeReason = iota // the client ended its side, or the connection broke
	closedAfterResponse                      // an answer said Connection: close
	closedIdle                               // no request came on it in time, or none came whole
	closedDraining                           // clients are to leave: drain by hand, or termination
	closedEvicted                            // it made room for another one
	closedConnectionLimit                    // there was no room for it
	closedTruncated                          // its answer broke off and was cut
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"client", "answered", "idle", "draining", "evicted", "connection_limit", "truncated"}

func (r closeReason) String() string { return closeReasonNames[r] }

// CloseCounts counts closed connections by reason.
type CloseCounts [closeReasonCount]uint64

// Since returns what was counted after old, as text: the reasons that occurred, with their counts.
func (c CloseCounts) Since(old CloseCounts) string {
	var parts []string
	for reason, n := range c {
		if n > old[reason] {
			parts = append(parts, fmt.Sprintf("%s:%d", closeReason(reason), n-old[reason]))
		}
	}
	return "[" + strings.Join(parts, " ") + "]"
}
