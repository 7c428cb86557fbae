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

// A body that exceeds the limit is an error with status 413.
func TestBodyOverLimitIsError(t *testing.T) {
	b := &Body{
		conn:           &Conn{Conn: withoutDeadlines{}},
		body:           strings.NewReader("123456"),
		allowance:      time.Hour,
		remainingBytes: 5,
	}
	var requestError *RequestError
	_, err := io.ReadAll(b)
	if !errors.As(err, &requestError) || requestError.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body beyond the limit: %v, want a *RequestError with status 413", err)
	}
}

// withoutDeadlines is a connection that has no deadlines.
type withoutDeadlines struct{ net.Conn }

func (withoutDeadlines) SetReadDeadline(time.Time) error { return nil }
