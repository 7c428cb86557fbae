package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Reading a body that exceeds the size limit returns an error with status 413.
func TestBodyOverLimitIsError(t *testing.T) {
	b := &Body{
		conn:           &Conn{Conn: noDeadlineConn{}},
		body:           strings.NewReader("123456"),
		request:        &http.Request{},
		remainingLag:   time.Hour,
		remainingBytes: 5,
	}
	var requestError *RequestError
	_, err := io.ReadAll(b)
	if !errors.As(err, &requestError) || requestError.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("reading 6 bytes with a limit of 5: got error %v, want a *RequestError with status 413", err)
	}
}

// noDeadlineConn is a connection that ignores read deadlines.
type noDeadlineConn struct{ net.Conn }

func (noDeadlineConn) SetReadDeadline(time.Time) error { return nil }
