package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errBadChunk = errors.New("reading the response: malformed chunk")

// chunkedBody reads a body in the chunked transfer coding (RFC 9112, section 7.1). A read returns what has arrived, of several
// chunks too, where net/http's reader waits until the buffer is full or the chunk ends, however slowly its bytes come.
type chunkedBody struct {
	reader *bufio.Reader
	left   int64 // bytes left of the current chunk
	inBody bool  // a chunk was read, whose data ends with a line end
	ended  bool
}

// Read reads data of the current chunk, and of further chunks that have arrived. It returns io.EOF behind the last chunk and
// its trailer.
func (c *chunkedBody) Read(p []byte) (n int, err error) {
	n, err = c.readChunk(p)
	for err == nil && n < len(p) && c.hasArrivedData() {
		var more int
		more, err = c.readChunk(p[n:])
		n += more
	}
	return n, err
}

// hasArrivedData reports whether the reader's buffer has further data, so that readChunk would not wait.
func (c *chunkedBody) hasArrivedData() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if c.left > 0 || !c.inBody {
		return c.left > 0 && len(buffered) > 0
	}
	_, rest, _ := bytes.Cut(buffered, []byte("\n")) // behind the line end of the last chunk's data
	line, data, _ := bytes.Cut(rest, []byte("\n"))
	size, err := parseChunkSize(bytes.TrimSuffix(line, []byte("\r")))
	return err == nil && size > 0 && len(data) > 0
}

// readChunk reads data of the current chunk. It returns io.EOF behind the last chunk and its trailer.
func (c *chunkedBody) readChunk(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
		if c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads the line with the size of the next chunk, and behind the last one the trailer.
func (c *chunkedBody) nextChunk() error {
	if c.inBody {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return errors.Join(err, errBadChunk)
		}
	}
	c.inBody = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	n, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if n > maxMessageBytes {
		return errMessageTooLong
	}
	c.left = int64(n)
	if n == 0 {
		return c.skipTrailer()
	}
	return nil
}

// parseChunkSize parses the size line of a chunk, without its line end.
func parseChunkSize(line []byte) (uint64, error) {
	size, _, _ := bytes.Cut(line, []byte(";")) // extensions are ignored
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 64)
	if err != nil {
		return 0, errBadChunk
	}
	return n, nil
}

// skipTrailer reads the trailer, which is dropped. Its size is limited by that of a header.
func (c *chunkedBody) skipTrailer() error {
	for size := 0; size <= maxResponseHeaderBytes; {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		size += len(line) + responseLineBytes
	}
	return errHeaderTooLong
}

// readLine reads a line without its end. A line that does not fit into the reader's buffer is an error.
func (c *chunkedBody) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, errBadChunk
	}
	return line, nil
}

// unexpectedEOF replaces an end of the connection within the body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
