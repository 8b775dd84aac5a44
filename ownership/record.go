package ownership

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// RecordFormat is the version of the record's format. Daemons refuse records of another one.
const RecordFormat = 3

// Nobody is the index of no member.
const Nobody = -1

// Member is a host whose backend server may own keys.
type Member struct {
	Host HostID `json:"host"`
	// Instance is the life of the backend server for which its fences were raised last.
	Instance Instance `json:"instance"`
}

// Assignment says who owns a key. The zero Assignment belongs to no key of a record.
type Assignment struct {
	// Owner is an index of the record's members, or Nobody.
	Owner    int
	Fence    Fence
	Handover Handover
}

// Record says which member owns which keys of one service. It is never changed once it is shared.
type Record struct {
	Service class.Service
	// Generation counts the records of the service. It is the source of fences.
	Generation Fence
	Members    []Member
	Keys       keyspace.Map[Assignment]
	// Nonce tells the writer its own record.
	Nonce string
}

// Find returns the index of a host, or Nobody.
func (r *Record) Find(host HostID) int {
	for i, m := range r.Members {
		if m.Host == host {
			return i
		}
	}
	return Nobody
}

// Owner returns the host that owns a key, or an empty name.
func (r *Record) Owner(key class.Key) HostID {
	return r.host(r.Keys.At(key).Owner)
}

func (r *Record) host(index int) HostID {
	if index < 0 || index >= len(r.Members) {
		return ""
	}
	return r.Members[index].Host
}

// Held returns how many keys and rows each member has.
func (r *Record) Held() (keys, rows []int) {
	keys = make([]int, len(r.Members))
	rows = make([]int, len(r.Members))
	for span, a := range r.Keys.Runs() {
		if a.Owner >= 0 && a.Owner < len(keys) {
			keys[a.Owner] += span.Size()
			rows[a.Owner]++
		}
	}
	return keys, rows
}

// next returns a copy with the next generation.
func (r *Record) next(nonce string) *Record {
	return &Record{
		Service:    r.Service,
		Generation: r.Generation + 1,
		Members:    append([]Member(nil), r.Members...),
		Keys:       r.Keys.Clone(),
		Nonce:      nonce,
	}
}

// assign gives a span to a member under a fresh fence.
func (r *Record) assign(span keyspace.Span, owner int, handover Handover) {
	r.Keys.Set(span, Assignment{Owner: owner, Fence: r.Generation, Handover: handover})
}

// join returns the index of a host's member and adds it if need be.
func (r *Record) join(m Member) int {
	if index := r.Find(m.Host); index != Nobody {
		return index
	}
	r.Members = append(r.Members, m)
	return len(r.Members) - 1
}

// drop removes a member that owns nothing.
func (r *Record) drop(index int) {
	var keys keyspace.Map[Assignment]
	for span, a := range r.Keys.Runs() {
		if a.Owner > index {
			a.Owner--
		}
		keys.Set(span, a)
	}
	r.Keys = keys
	r.Members = append(r.Members[:index:index], r.Members[index+1:]...)
}

// RecordError reports a record that cannot be read.
type RecordError struct{ Reason string }

func (e *RecordError) Error() string { return "ownership record: " + e.Reason }

// wireRecord is the head of a record in the store. Behind it, and compressed with it, come the rows: for each run of keys,
// unsigned varints: the distance of its first key from the last run's, the owner plus one, the age of the fence in
// generations, and the length of the handover, which follows.
//
// Each change of a row writes the record as a whole, over links of a few Mbit/s and against other writers, so its size
// decides how many changes a second a service can make.
type wireRecord struct {
	Format     int           `json:"format"`
	Service    class.Service `json:"service"`
	Generation Fence         `json:"generation"`
	Members    []Member      `json:"members"`
	Nonce      string        `json:"nonce"`
}

// maxRecord bounds a record that is read: each key a row with a handover.
const maxRecord = 8 << 20

// compressors are kept for later records: each takes some hundred kB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that the library knows
	}
	return w
}}

// Encode writes the record.
func (r *Record) Encode() ([]byte, error) {
	head, err := json.Marshal(wireRecord{
		Format:     RecordFormat,
		Service:    r.Service,
		Generation: r.Generation,
		Members:    r.Members,
		Nonce:      r.Nonce,
	})
	if err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	rows := binary.AppendUvarint(nil, uint64(len(head)))
	rows = append(rows, head...)
	last := class.Key(0)
	for span, a := range r.Keys.Runs() {
		rows = binary.AppendUvarint(rows, uint64(span.From-last))
		rows = appendAssignment(rows, a, r.Generation)
		last = span.From
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(rows); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if err := w.Close(); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	return out.Bytes(), nil
}

func appendAssignment(rows []byte, a Assignment, generation Fence) []byte {
	rows = binary.AppendUvarint(rows, uint64(a.Owner+1))
	rows = binary.AppendUvarint(rows, uint64(generation-a.Fence))
	rows = binary.AppendUvarint(rows, uint64(len(a.Handover)))
	return append(rows, a.Handover...)
}

// Decode reads a record.
func Decode(data []byte) (*Record, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecord))
	if err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	length, n := binary.Uvarint(plain)
	if n <= 0 || length > uint64(len(plain)-n) {
		return nil, &RecordError{Reason: "its head is cut short"}
	}
	head, body := plain[n:n+int(length)], plain[n+int(length):]
	var wire wireRecord
	if err := json.Unmarshal(head, &wire); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if wire.Format != RecordFormat {
		return nil, &RecordError{Reason: fmt.Sprintf("format %d is not %d", wire.Format, RecordFormat)}
	}
	if wire.Service == "" || len(body) == 0 {
		return nil, &RecordError{Reason: "service or rows are missing"}
	}
	r := &Record{Service: wire.Service, Generation: wire.Generation, Members: wire.Members, Nonce: wire.Nonce}
	rows := rowReader{rest: body, generation: wire.Generation, members: len(wire.Members)}
	for len(rows.rest) > 0 {
		from, a, err := rows.next()
		if err != nil {
			return nil, err
		}
		r.Keys.SetFrom(from, a)
	}
	return r, nil
}

// rowReader reads the rows of a record.
type rowReader struct {
	rest       []byte
	last       uint64
	generation Fence
	members    int
}

// next reads the row of a record.
func (r *rowReader) next() (class.Key, Assignment, error) {
	distance, err := r.number()
	if err != nil {
		return 0, Assignment{}, err
	}
	r.last += distance
	a, err := r.assignment()
	return class.Key(r.last), a, err
}

// nextSpan reads the row of a delta.
func (r *rowReader) nextSpan() (keyspace.Span, Assignment, error) {
	distance, err := r.number()
	if err != nil {
		return keyspace.Span{}, Assignment{}, err
	}
	more, err := r.number()
	if err != nil {
		return keyspace.Span{}, Assignment{}, err
	}
	r.last += distance
	if more >= class.KeyCount || r.last+more >= class.KeyCount {
		return keyspace.Span{}, Assignment{}, &RecordError{Reason: fmt.Sprintf("the row of key %d is out of range", r.last)}
	}
	a, err := r.assignment()
	return keyspace.Span{From: class.Key(r.last), To: class.Key(r.last + more)}, a, err
}

func (r *rowReader) number() (uint64, error) {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		return 0, &RecordError{Reason: "a row is cut short"}
	}
	r.rest = r.rest[n:]
	return value, nil
}

func (r *rowReader) assignment() (Assignment, error) {
	var fields [3]uint64
	for i := range fields {
		value, err := r.number()
		if err != nil {
			return Assignment{}, err
		}
		fields[i] = value
	}
	age, length := Fence(fields[1]), fields[2]
	isSound := r.last < class.KeyCount && fields[0] <= uint64(r.members) && age <= r.generation && length <= uint64(len(r.rest))
	if !isSound {
		return Assignment{}, &RecordError{Reason: fmt.Sprintf("the row of key %d is out of range", r.last)}
	}
	a := Assignment{Owner: int(fields[0]) - 1, Fence: r.generation - age, Handover: Handover(r.rest[:length])}
	r.rest = r.rest[length:]
	return a, nil
}
