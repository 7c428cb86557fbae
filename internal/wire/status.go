package wire

import "oakproxy/balancer"

// statusCodes maps the protocol's status codes to the ways an attempt or a probe ends. The codes resemble those of HTTP
// but are the protocol's own.
var statusCodes = [...]struct {
	code   uint16
	status balancer.Status
}{
	{200, balancer.OK},
	{500, balancer.EndpointError},
	{503, balancer.Rejected},
	{504, balancer.Timeout},
	{502, balancer.ConnectFailed},
	{598, balancer.Reset},
	{499, balancer.Cancelled},
	{410, balancer.NotSent},
}

// statusOf returns the meaning of a status code, and EndpointError for an unknown one. The codes are few and nearly all
// are 200, so that a search in order is faster than a map.
func statusOf(code uint16) (status balancer.Status, known bool) {
	for _, s := range &statusCodes {
		if s.code == code {
			return s.status, true
		}
	}
	return balancer.EndpointError, false
}
