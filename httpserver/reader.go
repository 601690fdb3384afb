package httpserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// Reasons why a request is refused, beside those of package connlimit.
const (
	refusalHead = "headTooLong"
	refusalBody = "bodyTooLong"
	// refusalEndless means far more bytes than the largest request has.
	refusalEndless = "endless"
	// refusalMalformed means that the request is not HTTP.
	refusalMalformed = "malformed"
	// refusalBusy means that the bytes of the requests in progress are used up.
	refusalBusy = "busy"
)

// refusalStatus has the status that answers a refused request.
var refusalStatus = map[string]int{
	refusalHead: http.StatusRequestHeaderFieldsTooLarge,
	refusalBody: http.StatusRequestEntityTooLarge,
}

// requestReader builds requests from what the parser finds, counts their bytes, and stops
// building one that exceeds a limit. It implements nbhttp.Processor. Only the goroutine that
// parses uses it, but for Close.
type requestReader struct {
	inner nbhttp.Processor
	conn  *conn
	// building says that a request has begun and is not complete. headBytes, bodyBytes and
	// builtBytes are the sizes of its head, of its body and of both with the overheads.
	building                         bool
	headBytes, bodyBytes, builtBytes int64
	// inBody says that the head is complete, and chunked that the body, if any, is chunked.
	inBody, chunked bool
	// completed is the number of requests that have been completed, and completedBytes the size
	// of the last.
	completed, completedBytes int64
	// buffered bounds the bytes of an incomplete line or body that the parser holds.
	buffered int64
	// found is the number of bytes of the pieces that the parser has found since begin, and any
	// whether it has found one.
	found int64
	any   bool
	// refusal is the reason why the request is refused, "" if it is not.
	refusal string
}

// begin prepares for the next received bytes.
func (r *requestReader) begin() { r.found, r.any = 0, false }

// end updates buffered after the parser has handled received bytes. What it has found is gone
// from its buffer, but not all that it skips is known. Once it has found a piece, it holds no more
// than the bytes that were received last.
func (r *requestReader) end(received int) {
	r.buffered = max(0, r.buffered+int64(received)-r.found)
	if r.any {
		r.buffered = min(r.buffered, int64(received))
	}
	if !r.inBody && r.headBytes+r.buffered > MaxHeadBytes {
		r.refuse(refusalHead)
	}
}

// heldBytes is what the server holds for a request that is not complete.
func (r *requestReader) heldBytes() int64 {
	if !r.incomplete() {
		return 0
	}
	return r.builtBytes + r.buffered
}

// incomplete reports whether a part of a request has arrived. The parser does not tell of less
// than a method, which may follow what the spaces around the last header's value count for.
func (r *requestReader) incomplete() bool { return r.building || r.buffered > lineOverhead }

func (r *requestReader) refuse(reason string) {
	if r.refusal == "" {
		r.refusal = reason
	}
}

// piece counts a piece that the parser has found, with what surrounds it in the text.
func (r *requestReader) piece(bytes int) {
	r.any = true
	r.found += int64(bytes)
}

// line counts a line of the head or the trailers. It returns false if the request is refused.
func (r *requestReader) line(bytes int) bool {
	r.piece(bytes + len(": \r\n"))
	r.headBytes += int64(bytes) + lineOverhead
	r.builtBytes += int64(bytes) + lineOverhead
	if r.headBytes > MaxHeadBytes {
		r.refuse(refusalHead)
	}
	return r.refusal == ""
}

// OnMethod implements nbhttp.Processor.
func (r *requestReader) OnMethod(p *nbhttp.Parser, method string) {
	r.building, r.inBody = true, false
	r.headBytes, r.bodyBytes, r.builtBytes = 0, 0, requestOverhead
	r.piece(len(method) + 1)
	r.inner.OnMethod(p, method)
}

// OnURL implements nbhttp.Processor.
func (r *requestReader) OnURL(p *nbhttp.Parser, uri string) error {
	if !r.line(len(uri)) {
		return nil
	}
	return r.inner.OnURL(p, uri)
}

// OnProto implements nbhttp.Processor.
func (r *requestReader) OnProto(p *nbhttp.Parser, proto string) error {
	r.piece(len(proto) + len("\r\n"))
	return r.inner.OnProto(p, proto)
}

// OnStatus implements nbhttp.Processor.
func (r *requestReader) OnStatus(p *nbhttp.Parser, code int, status string) {
	r.inner.OnStatus(p, code, status)
}

// OnHeader implements nbhttp.Processor.
func (r *requestReader) OnHeader(p *nbhttp.Parser, key, value string) {
	if r.line(len(key) + len(value)) {
		r.inner.OnHeader(p, key, value)
	}
}

// OnContentLength implements nbhttp.Processor. The head is complete.
func (r *requestReader) OnContentLength(p *nbhttp.Parser, length int) {
	r.piece(len("\r\n"))
	r.inBody, r.chunked = true, length < 0
	if length > r.conn.server.maxBody {
		r.refuse(refusalBody)
	}
	r.inner.OnContentLength(p, length)
}

// OnBody implements nbhttp.Processor.
func (r *requestReader) OnBody(p *nbhttp.Parser, data []byte) error {
	r.piece(len(data))
	if r.chunked {
		r.piece(len(strconv.FormatInt(int64(len(data)), 16)) + len("\r\n\r\n"))
	}
	r.bodyBytes += int64(len(data))
	r.builtBytes += int64(len(data))
	if r.bodyBytes > int64(r.conn.server.maxBody) {
		r.refuse(refusalBody)
	}
	if r.refusal != "" {
		return nil
	}
	return r.inner.OnBody(p, data)
}

// OnTrailerHeader implements nbhttp.Processor.
func (r *requestReader) OnTrailerHeader(p *nbhttp.Parser, key, value string) {
	if r.line(len(key) + len(value)) {
		r.inner.OnTrailerHeader(p, key, value)
	}
}

// OnComplete implements nbhttp.Processor. The request is complete.
func (r *requestReader) OnComplete(p *nbhttp.Parser) {
	r.any = true
	if r.chunked && r.bodyBytes > 0 {
		r.piece(len("0\r\n\r\n"))
	}
	// What the table counts for the incomplete request now counts for the complete one.
	uncounted := r.builtBytes - r.conn.inputCounted
	r.conn.inputCounted = 0
	if r.refusal == "" && r.conn.server.table.Complete(r.conn.id, uncounted, time.Now()) {
		r.completedBytes = r.builtBytes
		r.inner.OnComplete(p)
	} else {
		r.inner.Clean(p)
	}
	r.completed++
	r.building, r.inBody = false, false
	r.headBytes, r.bodyBytes, r.builtBytes = 0, 0, 0
	r.conn.received = 0
}

// Close implements nbhttp.Processor.
func (r *requestReader) Close(p *nbhttp.Parser, err error) { r.inner.Close(p, err) }

// Clean implements nbhttp.Processor.
func (r *requestReader) Clean(p *nbhttp.Parser) { r.inner.Clean(p) }
