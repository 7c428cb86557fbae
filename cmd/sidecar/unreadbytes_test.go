package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests of a client that has closed its connection with much still unread: behind so many bytes the
// sidecar does not see the end of the connection, and further attempts follow although nobody waits for them.
func TestNothingIsSentForAClientThatLeftUnreadBytes(t *testing.T) {
	const endpoints, requestBytes = 4, 300
	for _, unread := range []int{1 << 10, 2 << 20, 8 << 20, 64 << 20} {
		t.Run(fmt.Sprint(unread), func(t *testing.T) {
			recorder := &requestRecorder{arrivals: map[string]arrivalRecord{}}
			arrived, release := make(chan struct{}, 100), make(chan struct{})
			endpoint := serveConnections(t, func(conn net.Conn) {
				readRequests(conn, func(r *http.Request) {
					recorder.record(r)
					arrived <- struct{}{}
					<-release
					io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
				})
			})
			listen := freeAddress(t)
			config := strings.NewReplacer(`"target":200000,"give-up":210000`, `"target":10000000,"give-up":10000000`,
				`"keepalive":`, `"most-tries":4,"keepalive":`).Replace(terminationConfig(listen, endpoint, endpoints))
			cmd := command(t, config)
			cmd.Env = append(cmd.Env, "BALANCER_LOG_LEVEL=debug")
			p := launch(t, cmd)
			awaitReady(t, listen)
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			r := &lateRequest{id: "first", method: http.MethodGet, class: "read", timeLeft: 10 * time.Second, conn: conn,
				reader: bufio.NewReader(conn)}
			if err := r.write(); err != nil {
				t.Fatal(err)
			}
			<-arrived
			conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // the sidecar may read only a part
			followers := strings.Repeat(strings.Repeat("x", requestBytes-2)+"\r\n", unread/requestBytes)
			io.WriteString(conn, followers)
			conn.Close()
			waitFor(t, "the sidecar to notice the end, or to stop reading", func() bool {
				return p.log.count("statistics") > 0
			})
			close(release)
			waitFor(t, "the end of the request", func() bool {
				return p.log.count(`"client disconnected"`)+p.log.count(`"final response"`) > 0
			})
			if n := recorder.lookup("first").count; n != 1 {
				t.Errorf("got %d attempts, want only the one from before the client left", n)
			}
		})
	}
}

// Guards against a large request that is sent to its end although its client has closed the connection meanwhile, behind
// much that follows the body.
func TestUploadOfAClientThatLeftUnreadBytesIsNotFinished(t *testing.T) {
	const bodyBytes = 8 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			begun, left, ended := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			endpoint := serveConnections(t, func(conn net.Conn) {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				close(begun)
				<-left
				_, err = io.Copy(io.Discard, r.Body)
				ended <- err == nil
			})
			listen := freeAddress(t)
			launch(t, command(t, terminationConfig(listen, endpoint, 4)))
			awaitReady(t, listen)
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			head := strings.Replace(peerHead(0), "X-Time-Left-Ms: 2500", "X-Time-Left-Ms: 20000", 1)
			if chunked {
				fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, bodyBytes)
			} else {
				fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, bodyBytes)
			}
			written := make(chan struct{})
			go func() {
				defer close(written)
				conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
				io.WriteString(conn, strings.Repeat("x", bodyBytes)+"\r\n0\r\n\r\n")
				io.WriteString(conn, strings.Repeat("x", 2*bodyBytes))
			}()
			<-begun
			<-written
			conn.Close()
			close(left)
			if complete := <-ended; complete {
				t.Error("got the complete request at the endpoint, want it cut off: its client has left")
			}
		})
	}
}
