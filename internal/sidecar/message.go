package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// message is a request as it goes to endpoints, any number of times.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header // X-Time-Left-Ms is written for each attempt
	body   []byte
	upload *upload // what follows body while it comes; nil where that is all
	probe  bool    // the sidecar's own
}

// encode writes the request with the time that this attempt has left, up to the
// end of what is held of its body or, where more follows, of its head.
func (m *message) encode(ctx context.Context) ([]byte, error) {
	header := http.Header{}
	endToEnd(header, m.header)
	length := int64(len(m.body))
	if m.upload != nil { // its time counts from its last byte
		length = m.upload.length
		header.Set("X-Time-Left-Ms", strconv.FormatInt(m.upload.left.Milliseconds(), 10))
	} else if until, ok := ctx.Deadline(); ok {
		header.Set("X-Time-Left-Ms", strconv.FormatInt(max(0, time.Until(until).Milliseconds()), 10))
	}
	if length < 0 {
		header.Set("Transfer-Encoding", "chunked")
	} else if length > 0 || m.method != http.MethodGet {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	var data bytes.Buffer
	fmt.Fprintf(&data, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.url.RequestURI(), m.host)
	if err := header.Write(&data); err != nil {
		return nil, err
	}
	data.WriteString("\r\n")
	if m.upload == nil {
		data.Write(m.body)
	}
	return data.Bytes(), nil
}
