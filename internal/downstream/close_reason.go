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
	closedAfterResponse                      // a response said Connection: close
	closedIdle                               // no request came in time, or none came complete
	closedDraining                           // an idle connection was expired: draining, termination or a lower limit
	closedEvicted                            // it was evicted for a new connection
	closedConnectionLimit                    // it came beyond the connection limit
	closedTruncated                          // its response broke off, and the connection was reset
	closeReasonCount
)

// closeReasonNames are the names by which the log knows the reasons.
var closeReasonNames = [closeReasonCount]string{
	closedByClient:        "client",
	closedAfterResponse:   "answered",
	closedIdle:            "idle",
	closedDraining:        "draining",
	closedEvicted:         "evicted",
	closedConnectionLimit: "connection_limit",
	closedTruncated:       "truncated",
}

// String returns the name by which the log knows the reason.
func (r closeReason) String() string { return closeReasonNames[r] }

// CloseCounts counts closed connections by reason.
type CloseCounts [closeReasonCount]uint64

// Since returns what was counted after old was, as text: the reasons that occurred, with their counts.
func (c CloseCounts) Since(old CloseCounts) string {
	var parts []string
	for reason, count := range c {
		if count > old[reason] {
			parts = append(parts, fmt.Sprintf("%s:%d", closeReason(reason), count-old[reason]))
		}
	}
	return "[" + strings.Join(parts, " ") + "]"
}
