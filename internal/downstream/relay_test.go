package downstream

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a response that looks complete because the process was killed right after it had written the beginning:
// the connection must be set to be reset before the first byte is written, until the last one is written.
func TestRelayResetsTheConnectionFromTheFirstByte(t *testing.T) {
	_, c := newTestListener(t, 1).connect()
	writeBeginning := func() {
		if !c.Relaying() {
			t.Error("the beginning is written before the connection is set to be reset")
		}
	}
	if err := Relay(httptest.NewRecorder(), c, writeBeginning, strings.NewReader("rest")); err != nil {
		t.Fatal(err)
	}
	if c.Relaying() {
		t.Error("the connection is still set to be reset after the last byte")
	}
}
