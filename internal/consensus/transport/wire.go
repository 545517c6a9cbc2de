package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A stream begins with the magic, one byte for its kind, the length of the header (2 bytes, big endian) and the header.
// On a stream of kind kindCall, the call and its answer follow, each as a length (4 bytes, big endian) and a body.
const (
	magic    = "lfc1"
	kindRaft = 'r'
	kindCall = 'c'

	maxHeaderBytes = 512

	// MaxBodyBytes is the maximum size of the body of a call or an answer.
	MaxBodyBytes = 128 << 10
)

// header is the header of a stream, encoded as CBOR with the integer keys in its tags.
type header struct {
	Label string `cbor:"1,keyasint"` // label of the fleet
	To    string `cbor:"2,keyasint"` // identity of the receiving voter; for a call, its name
	From  string `cbor:"3,keyasint"` // name of the sending node
}

// Errors of headers.
var (
	errInvalidHeader = errors.New("no header of a consensus group's stream")
	errHeaderTooLong = errors.New("the names of fleet and voters are too long")
)

// readHeader reads the magic, the kind and the header of a stream.
func readHeader(r io.Reader) (kind byte, h header, err error) {
	var prefix [len(magic) + 3]byte
	if _, err = io.ReadFull(r, prefix[:]); err != nil {
		return 0, h, err
	}
	kind = prefix[len(magic)]
	size := int(binary.BigEndian.Uint16(prefix[len(magic)+1:]))
	if string(prefix[:len(magic)]) != magic || size > maxHeaderBytes {
		return 0, h, errInvalidHeader
	}
	raw := make([]byte, size)
	if _, err = io.ReadFull(r, raw); err != nil {
		return 0, h, err
	}
	return kind, h, cbor.Unmarshal(raw, &h)
}

// writeHeader writes the magic, the kind and the header of a stream.
func writeHeader(w io.Writer, kind byte, h header) error {
	raw, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	if len(raw) > maxHeaderBytes {
		return errHeaderTooLong
	}
	prefix := binary.BigEndian.AppendUint16(append([]byte(magic), kind), uint16(len(raw)))
	_, err = w.Write(append(prefix, raw...))
	return err
}

// readBody reads a length and a body.
func readBody(r io.Reader) ([]byte, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxBodyBytes {
		return nil, fmt.Errorf("body of %d bytes exceeds %d", size, MaxBodyBytes)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// writeBody writes a length and a body.
func writeBody(w io.Writer, body []byte) error {
	if len(body) > MaxBodyBytes {
		return fmt.Errorf("body of %d bytes exceeds %d", len(body), MaxBodyBytes)
	}
	buffered := bufio.NewWriterSize(w, 4<<10)
	if _, err := buffered.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body)))); err != nil {
		return err
	}
	if _, err := buffered.Write(body); err != nil {
		return err
	}
	return buffered.Flush()
}
