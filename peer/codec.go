package peer

import (
	"bufio"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// maxFrame bounds a control message, in bytes. The largest is a pushed value of the store in base64.
const maxFrame = 2 << 20

// boundedCodec frames JSON objects with their length. A frame that cannot be read is reported and ends the connection.
type boundedCodec struct {
	report func(error)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return &MessageError{Method: "frame", Reason: err.Error()}
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	err := readFrame(stream, v)
	var broken *MessageError
	if errors.As(err, &broken) {
		c.report(broken)
	}
	return err
}

// readFrame reads one frame. What is not a message at all is a MessageError; a connection that ended is not.
func readFrame(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return frameError(err)
	}
	if size > maxFrame {
		return &MessageError{Method: "frame", Reason: strconv.FormatUint(size, 10) + " bytes are over the limit"}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return frameError(err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &MessageError{Method: "frame", Reason: err.Error()}
	}
	return nil
}

func frameError(err error) error {
	var corrupt flate.CorruptInputError
	if errors.As(err, &corrupt) {
		return &MessageError{Method: "frame", Reason: corrupt.Error()}
	}
	return err
}

// packLevel favours speed: the messages of a connection are so alike that any level makes them small.
const packLevel = flate.BestSpeed

// packedConn compresses a connection as one stream in each direction. Control messages repeat the same names and
// numbers, so that each costs little more than what is new in it.
type packedConn struct {
	net.Conn
	reader io.Reader
	writer *flate.Writer
}

func newPackedConn(conn net.Conn) (*packedConn, error) {
	writer, err := flate.NewWriter(conn, packLevel)
	if err != nil {
		return nil, err
	}
	return &packedConn{Conn: conn, reader: flate.NewReader(conn), writer: writer}, nil
}

func (c *packedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Write sends a message at once: nothing waits in the compressor.
func (c *packedConn) Write(b []byte) (int, error) {
	n, err := c.writer.Write(b)
	if err != nil {
		return n, err
	}
	return n, c.writer.Flush()
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	read    metrics.Counter
	written metrics.Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read != nil {
		c.read.Inc(int64(n))
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.written != nil {
		c.written.Inc(int64(n))
	}
	return n, err
}
