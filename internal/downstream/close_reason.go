package downstream

import (
	"fmt"
	"strings"
)

// closeReason says why a client's connection was closed.
type closeReason uint8

// The reasons for closing a client's connection.
const (
	closedByClient        closeReason = iota // the client closed its side, or the connection broke
	closedAfterResponse                      // the connection was closed after a response with Connection: close
	closedIdle                               // no complete request arrived in time
	closedDraining                           // a drain, a termination or a lowered limit expired the idle connection
	closedEvicted                            // the connection was evicted to make room for a new one
	closedConnectionLimit                    // the connection exceeded the connection limit
	closedTruncated                          // the response was cut off, and the connection was reset
	closedHeadMemory                         // there was no memory for the head of a request
	closeReasonCount
)

// closeReasonNames are the names of the reasons in the log.
var closeReasonNames = [closeReasonCount]string{
	closedByClient:        "client",
	closedAfterResponse:   "answered",
	closedIdle:            "idle",
	closedDraining:        "draining",
	closedEvicted:         "evicted",
	closedConnectionLimit: "connection_limit",
	closedTruncated:       "truncated",
	closedHeadMemory:      "head_memory",
}

// String returns the name of the reason in the log.
func (r closeReason) String() string { return closeReasonNames[r] }

// CloseCounts counts closed connections by reason.
type CloseCounts [closeReasonCount]uint64

// Since returns the increase of the counts since old, an earlier value of the same counts. The result is a text for the
// log, such as "[client:2 idle:1]", and omits reasons that have not occurred since.
func (c CloseCounts) Since(old CloseCounts) string {
	var parts []string
	for reason, count := range c {
		if count > old[reason] {
			parts = append(parts, fmt.Sprintf("%s:%d", closeReason(reason), count-old[reason]))
		}
	}
	return "[" + strings.Join(parts, " ") + "]"
}
