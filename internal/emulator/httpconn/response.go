package httpconn

import (
	"net/http"
	"strconv"
)

// Field is a header field of a response.
type Field struct {
	Name, Value string
}

// AppendResponse appends a complete response, framed by Content-Length, to buffer.
func AppendResponse(buffer []byte, status int, body []byte, fields ...Field) []byte {
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, http.StatusText(status)...)
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
	for _, field := range fields {
		buffer = append(buffer, "\r\n"...)
		buffer = append(buffer, field.Name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, field.Value...)
	}
	buffer = append(buffer, "\r\n\r\n"...)
	return append(buffer, body...)
}
