package clientlimits

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// input is what each connection of a crowd sends: head once, then block again and again until
// total bytes have been sent. Nothing is read, and the connection then stays open.
type input struct {
	name string
	// connections is the number of connections at the same time.
	connections int
	head, block string
	// total is the number of bytes that one connection sends at most.
	total int
}

const (
	// blockBytes is the size of the repeated part, which holds many short pieces.
	blockBytes = 16 << 10
	// reconnects is how often a member of the crowd connects again after the process has
	// closed its connection.
	reconnects = 2
	// writeTimeout ends the sending of a member whose connection takes no more bytes.
	writeTimeout = 2 * time.Second
	// unfinishedConnections is the size of the crowds that hold unfinished input.
	unfinishedConnections = 300
	crowdConnections      = 48
	crowdTotal            = 8 << 20
)

func repeat(text string) string { return strings.Repeat(text, max(1, blockBytes/len(text))) }

// httpInputs lists what crowds send to an HTTP port. bodyLimit is the limit of the server's
// bodies, path that of a request that the port serves.
func httpInputs(path string, bodyLimit int) []input {
	line := func(method string) string { return method + " " + path + " HTTP/1.1\r\nHost: " + queueHost + "\r\n" }
	post := line("POST")
	chunked := post + "Transfer-Encoding: chunked\r\n"
	return []input{
		{"headerLines", crowdConnections, line("GET"), repeat("a: b\r\n"), crowdTotal},
		{"distinctHeaderLines", crowdConnections, line("GET"), distinctLines(), crowdTotal},
		{"headerLine", unfinishedConnections, line("GET") + "a: ", repeat("b"), 4 << 20},
		{"requestLine", unfinishedConnections, "GET " + path, repeat("b"), 4 << 20},
		{"announcedBody", crowdConnections, post + "Content-Length: 1073741824\r\n\r\n", repeat("b"), crowdTotal},
		{"chunkedBody", crowdConnections, chunked + "\r\n", repeat("1000\r\n" + strings.Repeat("b", 0x1000) + "\r\n"), crowdTotal},
		{"smallChunks", crowdConnections, chunked + "\r\n", repeat("1\r\nb\r\n"), crowdTotal},
		{"chunkExtension", crowdConnections, chunked + "\r\n1;", repeat("b"), crowdTotal},
		{"trailers", crowdConnections, chunked + "Trailer: a, b\r\n\r\n0\r\n", repeat("a: b\r\n"), crowdTotal},
		{"emptyLines", crowdConnections, "", repeat("\r\n"), crowdTotal},
		{"unfinishedBody", unfinishedConnections, post + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit), strings.Repeat("b", min(bodyLimit-1, blockBytes)), bodyLimit - 1},
		{"requestsAhead", 64, "", repeat("GET " + path + " HTTP/1.1\r\n\r\n"), 256 << 10},
		{"bodiesAhead", 64, "", repeat(post + "Content-Length: 4000\r\n\r\n" + strings.Repeat("b", 4000)), 4 << 20},
	}
}

// bodyInputs lists complete bodies that a port decodes, within its limit of bodies. head has
// the lines of the request but for the length of the body.
func bodyInputs(head string, bodyLimit int) []input {
	request := func(begin, item, end string) string {
		body := begin + strings.Repeat(item, (bodyLimit-len(begin)-len(end))/len(item)) + end
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	}
	var names strings.Builder
	for i := 0; names.Len() < bodyLimit-100; i++ {
		fmt.Fprintf(&names, `"f%d":"",`, i)
	}
	all := []input{
		{name: "emptyObjects", block: request(`{"spec":"a","steps":[`, "{},", "{}]}")},
		{name: "emptyTexts", block: request(`{"labels":[`, `"",`, `""]}`)},
		{name: "numbers", block: request(`{"steps":[{"after":[`, "0,", "0]}]}")},
		{name: "distinctFields", block: request("{"+names.String(), " ", `"f":""}`)},
		{name: "distinctLabels", block: request(`{"labels":{`+names.String(), " ", `"f":""}}`)},
	}
	for i := range all {
		all[i].connections, all[i].total = crowdConnections, 4*len(all[i].block)
	}
	return all
}

// distinctLines returns header lines with different names.
func distinctLines() string {
	var b strings.Builder
	for i := 0; b.Len() < blockBytes; i++ {
		fmt.Fprintf(&b, "a%d: b\r\n", i)
	}
	return b.String()
}

// frame returns an RPC frame with the text.
func frame(text string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
}

// rpcInputs lists what crowds send to a port for RPCs.
func rpcInputs() []input {
	const frameLimit = 1 << 20
	unfinished := string(binary.BigEndian.AppendUint32(nil, frameLimit))
	call := func(params string) string {
		return frame(`{"jsonrpc":"2.0","id":1,"method":"report","params":` + params + `}`)
	}
	return []input{
		{"unfinishedFrame", unfinishedConnections, unfinished, repeat(" "), frameLimit - 1},
		{"emptyFrames", crowdConnections, "", repeat(frame("")), crowdTotal},
		{"unknownCalls", crowdConnections, "", repeat(frame(`{"jsonrpc":"2.0","id":1,"method":"` + strings.Repeat("m", 3000) + `"}`)), crowdTotal},
		{"calls", crowdConnections, "", repeat(call("{}")), 1 << 20},
		{"largeCalls", crowdConnections, "", call(`{"agent":"` + strings.Repeat("a", frameLimit/2) + `"}`), crowdTotal},
		{"notifications", crowdConnections, "", repeat(frame(`{"jsonrpc":"2.0","method":"recordStored","params":{"key":"` + strings.Repeat("a", 2000) + `"}}`)), crowdTotal},
	}
}

// crowd is a number of connections that send the same input.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// send lets a crowd send its input. It returns when each member has sent all of it, its
// connection takes no more, or the process has closed it reconnects times more than once.
// The connections stay open until the end of the test.
func send(t *testing.T, address string, in input) {
	t.Helper()
	var c crowd
	t.Cleanup(func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	var wg sync.WaitGroup
	for range in.connections {
		wg.Go(func() {
			for range 1 + reconnects {
				if c.sendOnce(address, in) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// sendOnce sends the input on one connection. It reports whether the connection was open at
// the end.
func (c *crowd) sendOnce(address string, in input) bool {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	sent := 0
	for block := []byte(in.head); sent < in.total; block = []byte(in.block) {
		if len(in.head) == 0 && sent == 0 {
			block = []byte(in.block)
		}
		block = block[:min(len(block), in.total-sent)]
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := conn.Write(block)
		sent += n
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return true
		}
		if err != nil {
			return false
		}
	}
	return true
}

// awaitRead waits until the process has read what its port has received, at most for the time of
// an ordinary request. Otherwise the input would still be in the kernel's memory.
func awaitRead(t *testing.T, address string) {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	local := fmt.Sprintf("0100007F:%04X", number)
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		sockets, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		unread := false
		for line := range strings.Lines(string(sockets)) {
			// The columns are the number, the local and the remote address, the state, and the
			// bytes that wait to be sent and to be read.
			words := strings.Fields(line)
			const established = "01"
			if len(words) > 4 && words[1] == local && words[3] == established && !strings.HasSuffix(words[4], ":00000000") {
				unread = true
			}
		}
		if !unread {
			return
		}
	}
}

// TestInputsFit guards against inputs that are not what their names say.
func TestInputsFit(t *testing.T) {
	for _, in := range httpInputs("/x", 1<<20) {
		if bytes.Contains([]byte(in.block), []byte("\r\n\r\n")) != (strings.HasSuffix(in.name, "Ahead") || in.name == "emptyLines") {
			t.Errorf("%s: only inputs of whole requests contain the end of a head", in.name)
		}
	}
}
