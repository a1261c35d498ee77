package transport

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

var headerEnd = []byte("\r\n\r\n")

// requestReader splits a connection's input into requests. It resumes where the
// last input ended, so that it does not scan the start of a request again.
type requestReader struct {
	limits        *Limits
	headerParsers *sync.Pool
	// current is the request whose body is being read.
	current *exchange
	// scannedBytes is the length of the input already searched for the end of
	// the header.
	scannedBytes int
	// bodyBytes is the body's announced length, bodyRemaining what has not arrived.
	bodyBytes     int
	bodyRemaining int
	chunkedBody   *chunkedBodyReader
}

// hasPartialRequest reports whether only a part of the next request has arrived.
func (r *requestReader) hasPartialRequest() bool {
	return r.current != nil || r.scannedBytes > 0
}

// heldBytes returns what is held of a request that has not arrived whole, with the
// given number of unread bytes; the buffer of those may be twice as large.
func (r *requestReader) heldBytes(unread int) int64 {
	bytes := 2 * int64(unread)
	if r.current != nil {
		bytes += requestCost + int64(cap(r.current.body))
	}
	return bytes
}

// next returns the next complete request, nil if more input is needed, or the
// reason for refusing the request.
func (r *requestReader) next(conn gnet.Conn) (*exchange, string) {
	if r.current == nil {
		if reason := r.readHeader(conn); reason != "" || r.current == nil {
			return nil, reason
		}
	}
	complete, reason := r.readBody(conn)
	if reason != "" || !complete {
		return nil, reason
	}
	x := r.current
	r.current = nil
	r.chunkedBody = nil
	if len(x.body) > 0 {
		x.ctx.Request.SetBodyRaw(x.body)
	}
	return x, ""
}

func (r *requestReader) readHeader(conn gnet.Conn) string {
	input, err := conn.Peek(-1)
	if err != nil || len(input) == 0 {
		return ""
	}
	from := max(r.scannedBytes-len(headerEnd)+1, 0)
	end := bytes.Index(input[from:], headerEnd)
	if end < 0 {
		r.scannedBytes = len(input)
		if r.scannedBytes > r.limits.HeaderBytes {
			return HeaderTooLarge
		}
		return ""
	}
	length := from + end + len(headerEnd)
	r.scannedBytes = 0
	if length > r.limits.HeaderBytes {
		return HeaderTooLarge
	}
	x, reason := r.parseHeader(input[:length])
	if reason != "" {
		return reason
	}
	_, _ = conn.Discard(length)
	return r.prepareBody(conn, x)
}

// headerParser is a reusable reader that passes a header to fasthttp's parser.
type headerParser struct {
	input    bytes.Reader
	buffered *bufio.Reader
}

func (r *requestReader) parseHeader(header []byte) (*exchange, string) {
	parser := r.headerParsers.Get().(*headerParser)
	defer r.headerParsers.Put(parser)
	parser.input.Reset(header)
	parser.buffered.Reset(&parser.input)
	x := newExchange()
	err := x.ctx.Request.Header.Read(parser.buffered)
	// If fasthttp saw the end of the header elsewhere, the body could be taken for
	// another request (request smuggling).
	if err != nil || parser.buffered.Buffered() > 0 || parser.input.Len() > 0 || hasConflictingLengths(x, header) {
		x.release()
		return nil, BadRequest
	}
	return x, ""
}

// hasConflictingLengths reports whether a chunked request also has a
// Content-Length, so that two servers could see different ends of its body (RFC
// 9112, section 6.1).
func hasConflictingLengths(x *exchange, header []byte) bool {
	if x.ctx.Request.Header.ContentLength() != chunkedLength {
		return false
	}
	return bytes.Contains(bytes.ToLower(header), []byte("\ncontent-length"))
}

func (r *requestReader) prepareBody(conn gnet.Conn, x *exchange) string {
	length := x.ctx.Request.Header.ContentLength()
	if length > r.limits.bodyBytes() {
		return BodyTooLarge
	}
	r.current = x
	r.bodyRemaining, r.bodyBytes = max(length, 0), max(length, 0)
	if length == chunkedLength {
		r.chunkedBody = &chunkedBodyReader{maxBodyBytes: r.limits.bodyBytes()}
	}
	if x.ctx.Request.MayContinue() {
		_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return ""
}

func (r *requestReader) readBody(conn gnet.Conn) (complete bool, reason string) {
	if r.chunkedBody != nil {
		return r.chunkedBody.read(conn, r.current)
	}
	available := min(r.bodyRemaining, conn.InboundBuffered())
	if available > 0 {
		part, err := conn.Next(available)
		if err != nil {
			return false, BadRequest
		}
		r.current.appendBody(part, r.bodyBytes)
		r.bodyRemaining -= available
	}
	return r.bodyRemaining == 0, ""
}

// chunkedBodyReader decodes a chunked body.
type chunkedBodyReader struct {
	maxBodyBytes   int
	chunkRemaining int
	bodyBytes      int
	inChunk        bool
	inTrailer      bool
}

func (r *chunkedBodyReader) read(conn gnet.Conn, x *exchange) (complete bool, reason string) {
	for {
		if r.inChunk {
			needsInput, reason := r.readChunkData(conn, x)
			if reason != "" || needsInput {
				return false, reason
			}
		}
		line, found, reason := readLine(conn)
		if reason != "" || !found {
			return false, reason
		}
		if r.inTrailer {
			if len(line) > 0 {
				continue
			}
			x.ctx.Request.Header.SetContentLength(r.bodyBytes)
			return true, ""
		}
		if reason := r.startChunk(line); reason != "" {
			return false, reason
		}
	}
}

// readChunkData appends the chunk's available bytes to the request's body; it
// reports whether the chunk needs more input.
func (r *chunkedBodyReader) readChunkData(conn gnet.Conn, x *exchange) (needsInput bool, reason string) {
	if available := min(r.chunkRemaining, conn.InboundBuffered()); available > 0 {
		part, err := conn.Next(available)
		if err != nil {
			return false, BadRequest
		}
		x.appendBody(part, 0)
		r.chunkRemaining -= available
	}
	if r.chunkRemaining > 0 || conn.InboundBuffered() < len("\r\n") {
		return true, ""
	}
	end, err := conn.Next(len("\r\n"))
	if err != nil || string(end) != "\r\n" {
		return false, BadRequest
	}
	r.inChunk = false
	return false, ""
}

func (r *chunkedBodyReader) startChunk(line []byte) string {
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, valid := parseHex(bytes.TrimSpace(size))
	if !valid {
		return BadRequest
	}
	if length == 0 {
		r.inTrailer = true
		return ""
	}
	if r.bodyBytes+length > r.maxBodyBytes {
		return BodyTooLarge
	}
	r.bodyBytes += length
	r.chunkRemaining = length
	r.inChunk = true
	return ""
}

// maxChunkLineBytes bounds the size line of a chunk and each line of the trailer.
const maxChunkLineBytes = 1 << 10

func readLine(conn gnet.Conn) (line []byte, found bool, reason string) {
	input, err := conn.Peek(min(conn.InboundBuffered(), maxChunkLineBytes))
	if err != nil {
		return nil, false, ""
	}
	end := bytes.Index(input, []byte("\r\n"))
	if end < 0 {
		if len(input) >= maxChunkLineBytes {
			return nil, false, BadRequest
		}
		return nil, false, ""
	}
	line = bytes.Clone(input[:end])
	_, _ = conn.Discard(end + len("\r\n"))
	return line, true, ""
}

// maxHexDigits bounds the size of a chunk, so that sums of sizes can't overflow.
const maxHexDigits = 7

func parseHex(text []byte) (value int, valid bool) {
	if len(text) == 0 || len(text) > maxHexDigits {
		return 0, false
	}
	for _, digit := range text {
		switch {
		case digit >= '0' && digit <= '9':
			value = value<<4 | int(digit-'0')
		case digit >= 'a' && digit <= 'f':
			value = value<<4 | int(digit-'a'+10)
		case digit >= 'A' && digit <= 'F':
			value = value<<4 | int(digit-'A'+10)
		default:
			return 0, false
		}
	}
	return value, true
}
