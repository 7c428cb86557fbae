package sidecartest

// SettingsText is the settings object of a configuration file. It has two zones, one machine kind and four classes:
// read is idempotent; pay is idempotent with a key at all endpoints; close is idempotent with a key within a cell;
// order is not idempotent.
const SettingsText = `{"areas":["a","b"],"skus":["m1"],"stages":["s"],"tenants":[],"discovery":"subscribe",
 "classes":[
 {"name":"read","repeat":"pure","target":600000,"give-up":3000000,"credit":1},
 {"name":"pay","repeat":"token","group":"all","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"close","repeat":"token","group":"cell","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"order","repeat":"side_effect","target":600000,"give-up":3000000,"credit":1}],
 "contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,
  "fall-multiple":2.5,"overload-for":1000000,"ramp-time":0},
 "limits":{"cancel":true,"dial-timeout":2000000,"keepalive":5000000,"max-retry-after":1500000,
  "most-held":1000,"most-tries":3,"multiplex":1,"probes":false,"retry-after":true,"second-copies":true},
 "reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":1,"position":0,"zone":0}`

// PayHead is the head of a request of class pay. It lacks the final empty line, so that a test can add headers.
const PayHead = "POST /pay HTTP/1.1\r\nHost: api\r\nX-Service-Class: pay\r\n" +
	"X-Time-Left-Ms: 3000\r\nIdempotency-Key: k\r\n"

// ReadHead is the head of a request of class read. It lacks the final empty line, so that a test can add headers.
const ReadHead = "GET /read HTTP/1.1\r\nHost: api\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 3000\r\n"
