package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"oakproxy/internal/httpmsg"
)

// Request is a request as it goes to endpoints, any number of times.
type Request struct {
	Method  string
	URL     *url.URL
	Host    string
	Header  http.Header // X-Time-Left-Ms is written for each attempt
	Body    []byte
	Upload  *Upload // what follows body while it comes; nil where that is all
	isProbe bool    // the sidecar's own
}

// encode writes the request with the time that this attempt has left, up to the
// end of what is held of its body or, where more follows, of its head.
func (m *Request) encode(ctx context.Context) ([]byte, error) {
	header := http.Header{}
	httpmsg.CopyEndToEnd(header, m.Header)
	length := int64(len(m.Body))
	if m.Upload != nil { // its time counts from its last byte
		length = m.Upload.Length
		header.Set("X-Time-Left-Ms", strconv.FormatInt(m.Upload.TimeLeft.Milliseconds(), 10))
	} else if until, ok := ctx.Deadline(); ok {
		header.Set("X-Time-Left-Ms", strconv.FormatInt(max(0, time.Until(until).Milliseconds()), 10))
	}
	if length < 0 {
		header.Set("Transfer-Encoding", "chunked")
	} else if length > 0 || m.Method != http.MethodGet {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	var data bytes.Buffer
	fmt.Fprintf(&data, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.URL.RequestURI(), m.Host)
	if err := header.Write(&data); err != nil {
		return nil, err
	}
	data.WriteString("\r\n")
	if m.Upload == nil {
		data.Write(m.Body)
	}
	return data.Bytes(), nil
}
