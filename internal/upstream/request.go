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

// timeLeftHeader tells an endpoint the client's remaining time in milliseconds.
const timeLeftHeader = "X-Time-Left-Ms"

// Request is a request as it is sent to endpoints, by any number of attempts. Only one attempt may have the upload.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	// Header is the client's. X-Time-Left-Ms and the headers of the connection are written for each attempt.
	Header http.Header
	// Body is the complete body, or its buffered beginning where there is an upload.
	Body []byte
	// Upload is the remainder of the body; nil if Body is complete.
	Upload *Upload

	isProbe bool // the sidecar's own, which leaves connections to requests
}

// encode returns the request with the remaining time of this attempt. It ends with the buffered body or, where there
// is an upload, with the head.
func (m *Request) encode(ctx context.Context) ([]byte, error) {
	header := http.Header{}
	httpmsg.CopyEndToEnd(header, m.Header)
	length := int64(len(m.Body))
	if m.Upload != nil { // the time counts from its last byte
		length = m.Upload.Length
		header.Set(timeLeftHeader, strconv.FormatInt(m.Upload.TimeLeft.Milliseconds(), 10))
	} else if deadline, ok := ctx.Deadline(); ok {
		header.Set(timeLeftHeader, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
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
