package transport

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// chunkedLength is what fasthttp gives as the length of a chunked body.
const chunkedLength = -1

var headerEnd = []byte("\r\n\r\n")

// reader cuts a connection's input into requests; each byte is looked at once.
type reader struct {
	limits  *Limits
	parsers *sync.Pool
	// current is the request whose body is being read.
	current *exchange
	// scanned is how much of the input holds no end of a header.
	scanned   int
	remaining int
	chunks    *chunkReader
}

// started reports whether a part of a request has arrived.
func (r *reader) started() bool {
	return r.current != nil || r.scanned > 0
}

// next returns the next whole request, nil if more input is needed, or the
// reason for which the connection must be refused.
func (r *reader) next(conn gnet.Conn) (*exchange, string) {
	if r.current == nil {
		if reason := r.readHeader(conn); reason != "" || r.current == nil {
			return nil, reason
		}
	}
	whole, reason := r.readBody(conn)
	if reason != "" || !whole {
		return nil, reason
	}
	x := r.current
	r.current = nil
	r.chunks = nil
	return x, ""
}

func (r *reader) readHeader(conn gnet.Conn) string {
	input, err := conn.Peek(-1)
	if err != nil || len(input) == 0 {
		return ""
	}
	from := max(r.scanned-len(headerEnd)+1, 0)
	end := bytes.Index(input[from:], headerEnd)
	if end < 0 {
		r.scanned = len(input)
		if r.scanned > r.limits.HeaderBytes {
			return HeaderTooLarge
		}
		return ""
	}
	length := from + end + len(headerEnd)
	r.scanned = 0
	if length > r.limits.HeaderBytes {
		return HeaderTooLarge
	}
	x, reason := r.parseHeader(input[:length])
	if reason != "" {
		return reason
	}
	_, _ = conn.Discard(length)
	return r.expectBody(conn, x)
}

// headerParser lends fasthttp's parser a header as a reader.
type headerParser struct {
	text     bytes.Reader
	buffered *bufio.Reader
}

func (r *reader) parseHeader(text []byte) (*exchange, string) {
	parser := r.parsers.Get().(*headerParser)
	defer r.parsers.Put(parser)
	parser.text.Reset(text)
	parser.buffered.Reset(&parser.text)
	x := newExchange()
	err := x.ctx.Request.Header.Read(parser.buffered)
	// A header that ends elsewhere for fasthttp would let a body pass for a request.
	if err != nil || parser.buffered.Buffered() > 0 || parser.text.Len() > 0 || hasTwoLengths(x, text) {
		x.release()
		return nil, BadRequest
	}
	return x, ""
}

// hasTwoLengths reports whether a chunked request also gives a length, over
// which two readers of it could disagree (RFC 9112, section 6.1).
func hasTwoLengths(x *exchange, text []byte) bool {
	if x.ctx.Request.Header.ContentLength() != chunkedLength {
		return false
	}
	return bytes.Contains(bytes.ToLower(text), []byte("\ncontent-length"))
}

func (r *reader) expectBody(conn gnet.Conn, x *exchange) string {
	length := x.ctx.Request.Header.ContentLength()
	if length > r.limits.BodyBytes {
		return BodyTooLarge
	}
	r.current = x
	r.remaining = max(length, 0)
	if length == chunkedLength {
		r.chunks = &chunkReader{limit: r.limits.BodyBytes}
	}
	if x.ctx.Request.MayContinue() {
		_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return ""
}

func (r *reader) readBody(conn gnet.Conn) (whole bool, reason string) {
	request := &r.current.ctx.Request
	if r.chunks != nil {
		return r.chunks.read(conn, request)
	}
	available := min(r.remaining, conn.InboundBuffered())
	if available > 0 {
		part, err := conn.Next(available)
		if err != nil {
			return false, BadRequest
		}
		request.AppendBody(part)
		r.remaining -= available
	}
	return r.remaining == 0, ""
}

// chunkReader decodes a chunked body.
type chunkReader struct {
	limit   int
	left    int
	total   int
	inChunk bool
	trailer bool
}

func (r *chunkReader) read(conn gnet.Conn, request *fasthttp.Request) (whole bool, reason string) {
	for {
		if r.inChunk {
			more, reason := r.readData(conn, request)
			if reason != "" || more {
				return false, reason
			}
		}
		line, found, reason := readLine(conn)
		if reason != "" || !found {
			return false, reason
		}
		if r.trailer {
			if len(line) > 0 {
				continue
			}
			request.Header.SetContentLength(r.total)
			return true, ""
		}
		if reason := r.startChunk(line); reason != "" {
			return false, reason
		}
	}
}

// readData reports whether more input is needed for the chunk.
func (r *chunkReader) readData(conn gnet.Conn, request *fasthttp.Request) (more bool, reason string) {
	if available := min(r.left, conn.InboundBuffered()); available > 0 {
		part, err := conn.Next(available)
		if err != nil {
			return false, BadRequest
		}
		request.AppendBody(part)
		r.left -= available
	}
	if r.left > 0 || conn.InboundBuffered() < len("\r\n") {
		return true, ""
	}
	end, err := conn.Next(len("\r\n"))
	if err != nil || string(end) != "\r\n" {
		return false, BadRequest
	}
	r.inChunk = false
	return false, ""
}

func (r *chunkReader) startChunk(line []byte) string {
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, valid := parseHex(bytes.TrimSpace(size))
	if !valid {
		return BadRequest
	}
	if length == 0 {
		r.trailer = true
		return ""
	}
	if r.total+length > r.limit {
		return BodyTooLarge
	}
	r.total += length
	r.left = length
	r.inChunk = true
	return ""
}

// maxChunkLineBytes bounds a chunk's size line and a trailer's line.
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

// maxHexDigits keeps a chunk's size far from overflow.
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
