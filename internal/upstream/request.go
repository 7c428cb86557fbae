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

// Headers of requests.
const (
	timeLeftHeader = "X-Time-Left-Ms"   // tells an endpoint the client's remaining time in milliseconds
	idHeader       = "X-Correlation-Id" // identifies a request of a client; probes have none
)

// Request is a request that is sent to endpoints by any number of attempts. Only one attempt may send the upload.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	// Header is the header that the client sent. Its hop-by-hop headers are not forwarded. X-Time-Left-Ms and the length
	// of the body are written anew for each attempt.
	Header http.Header
	// Body is the complete body or, if Upload is not nil, its buffered beginning.
	Body []byte
	// Upload is the remainder of the body; nil if Body is complete.
	Upload *Upload

	isProbe bool // whether this is the sidecar's own probe; probes leave some connections to clients' requests
}

// encode returns the bytes of the request for an attempt. They include the body; if the request has an upload, they end
// with the head. X-Time-Left-Ms is the time until the deadline of ctx or, if the request has an upload, that
// of Upload.toldTimeLeft. Endpoints must get no request that no client has sent, so encode refuses one without an id.
func (r *Request) encode(ctx context.Context) ([]byte, error) {
	if !r.isProbe && r.Header.Get(idHeader) == "" {
		return nil, errNoClientRequest
	}
	header := http.Header{}
	httpmsg.CopyEndToEnd(header, r.Header)
	length := int64(len(r.Body))
	if r.Upload != nil {
		length = r.Upload.Length
		header.Set(timeLeftHeader, strconv.FormatInt(r.Upload.toldTimeLeft().Milliseconds(), 10))
	} else if deadline, ok := ctx.Deadline(); ok {
		header.Set(timeLeftHeader, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	if length < 0 {
		header.Set("Transfer-Encoding", "chunked")
	} else if length > 0 || r.Method != http.MethodGet {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	var data bytes.Buffer
	fmt.Fprintf(&data, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URL.RequestURI(), r.Host)
	if err := header.Write(&data); err != nil {
		return nil, err
	}
	data.WriteString("\r\n")
	if r.Upload == nil {
		data.Write(r.Body)
	}
	return data.Bytes(), nil
}
