package ownership

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// RecordFormat is the version of the encoding of records. Daemons reject records in another format.
const RecordFormat = 3

// NoMember is the member index that stands for no member.
const NoMember = -1

// Member is a host whose backend server may own keys.
type Member struct {
	Host HostID `json:"host"`
	// Instance is the instance of the backend server for which the fences of its keys were last raised.
	Instance Instance `json:"instance"`
}

// Assignment is the owner of a key with its fence. No key of a record has the zero Assignment.
type Assignment struct {
	// Owner is an index into the record's members, or NoMember.
	Owner    int
	Fence    Fence
	Handover HandoverToken
}

// Record lists which member owns which keys of one service. A record must not be modified once it is shared.
type Record struct {
	Service class.Service
	// Era is the era of the store in which the record was written. Zero means that this is not known.
	Era store.Era
	// Generation counts the records of the service. New fences are set to it. It rises with each era.
	Generation Fence
	// EraGeneration is the generation of the first record of the era, if the store was restored before.
	EraGeneration Fence
	// Unsettled contains the members whose assignments of earlier eras are not confirmed in this one. Assignments that
	// were lost when the store was restored may still be in force at other hosts.
	Unsettled []HostID
	// IsEraSettleable means that no host acts on assignments of earlier eras any more, because all authority from before
	// the restore has expired.
	IsEraSettleable bool
	Members         []Member
	Keys            keyspace.Map[Assignment]
	// Nonce lets the writer recognize its own record.
	Nonce string
}

// MemberIndex returns the index of the host's member, or NoMember.
func (r *Record) MemberIndex(host HostID) int {
	for i, m := range r.Members {
		if m.Host == host {
			return i
		}
	}
	return NoMember
}

// Owner returns the host that owns the key, or an empty ID if no host does.
func (r *Record) Owner(key class.Key) HostID {
	return r.memberHost(r.Keys.At(key).Owner)
}

func (r *Record) memberHost(index int) HostID {
	if index < 0 || index >= len(r.Members) {
		return ""
	}
	return r.Members[index].Host
}

// CountsByMember returns, for each member, the number of its keys and of its rows (runs of keys).
func (r *Record) CountsByMember() (keys, rows []int) {
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

// nextGeneration returns a copy of the record with the next generation and the given nonce.
func (r *Record) nextGeneration(nonce string) *Record {
	next := *r
	next.Generation++
	next.Nonce = nonce
	next.Unsettled, next.Members, next.Keys = slices.Clone(r.Unsettled), slices.Clone(r.Members), r.Keys.Clone()
	return &next
}

// assign assigns a span to a member under a new fence.
func (r *Record) assign(span keyspace.Span, owner int, handover HandoverToken) {
	r.Keys.Set(span, Assignment{Owner: owner, Fence: r.Generation, Handover: handover})
}

// addMember returns the index of the host's member, and adds the member if the record does not have it.
func (r *Record) addMember(m Member) int {
	if index := r.MemberIndex(m.Host); index != NoMember {
		return index
	}
	r.Members = append(r.Members, m)
	return len(r.Members) - 1
}

// removeMember removes a member that owns no keys.
func (r *Record) removeMember(index int) {
	var keys keyspace.Map[Assignment]
	for span, a := range r.Keys.Runs() {
		if a.Owner > index {
			a.Owner--
		}
		keys.Set(span, a)
	}
	r.Keys = keys
	r.settle(r.Members[index].Host)
	r.Members = append(r.Members[:index:index], r.Members[index+1:]...)
}

// RecordError reports a record or a delta that cannot be encoded or decoded.
type RecordError struct{ Reason string }

func (e *RecordError) Error() string { return "invalid ownership record: " + e.Reason }

// recordHeader is the header of an encoded record. The rows follow it and are compressed together with it. There is one
// row for each run of keys. It consists of unsigned varints: the distance of its first key from that of the previous
// row, the owner plus one, the age of the fence in generations, and the length of the handover token, which follows.
//
// Each change of a row writes the whole record, over links of a few Mbit/s and in competition with other writers, so
// the size of the record limits how many changes per second a service can make.
type recordHeader struct {
	Format     int           `json:"format"`
	Service    class.Service `json:"service"`
	Generation Fence         `json:"generation"`
	Members    []Member      `json:"members"`
	Nonce      string        `json:"nonce"`
	Era        store.Era     `json:"era,omitempty"`
	// The fields below are present only after the store was restored.
	EraGeneration   Fence    `json:"era_generation,omitempty"`
	Unsettled       []HostID `json:"unsettled,omitempty"`
	IsEraSettleable bool     `json:"settleable,omitempty"`
}

// maxRecordBytes limits the decompressed size of a record. It allows for one row with a handover token per key.
const maxRecordBytes = 8 << 20

// compressorPool keeps compressors for reuse, because each allocates some hundred kB.
var compressorPool = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: flate accepts the constant level
	}
	return w
}}

// Encode returns the record in the format in which it is stored.
func (r *Record) Encode() ([]byte, error) {
	header, err := json.Marshal(recordHeader{
		Format:          RecordFormat,
		Service:         r.Service,
		Generation:      r.Generation,
		Members:         r.Members,
		Nonce:           r.Nonce,
		Era:             r.Era,
		EraGeneration:   r.EraGeneration,
		Unsettled:       r.Unsettled,
		IsEraSettleable: r.IsEraSettleable,
	})
	if err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	rows := binary.AppendUvarint(nil, uint64(len(header)))
	rows = append(rows, header...)
	last := class.Key(0)
	for span, a := range r.Keys.Runs() {
		rows = binary.AppendUvarint(rows, uint64(span.From-last))
		rows = appendAssignment(rows, a, r.Generation)
		last = span.From
	}
	var out bytes.Buffer
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
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

// Decode decodes a record that Encode encoded.
func Decode(data []byte) (*Record, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordBytes))
	if err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	length, n := binary.Uvarint(plain)
	if n <= 0 || length > uint64(len(plain)-n) {
		return nil, &RecordError{Reason: "header truncated"}
	}
	header, body := plain[n:n+int(length)], plain[n+int(length):]
	var decoded recordHeader
	if err := json.Unmarshal(header, &decoded); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if decoded.Format != RecordFormat {
		return nil, &RecordError{
			Reason: fmt.Sprintf("format %d is not supported, want format %d", decoded.Format, RecordFormat),
		}
	}
	if decoded.Service == "" || len(body) == 0 {
		return nil, &RecordError{Reason: "service or rows missing"}
	}
	r := &Record{
		Service:         decoded.Service,
		Era:             decoded.Era,
		Generation:      decoded.Generation,
		EraGeneration:   decoded.EraGeneration,
		Unsettled:       decoded.Unsettled,
		Members:         decoded.Members,
		Nonce:           decoded.Nonce,
		IsEraSettleable: decoded.IsEraSettleable,
	}
	rows := rowReader{rest: body, generation: decoded.Generation, members: len(decoded.Members)}
	for len(rows.rest) > 0 {
		from, a, err := rows.nextRecordRow()
		if err != nil {
			return nil, err
		}
		r.Keys.SetFrom(from, a)
	}
	return r, nil
}

// rowReader decodes the rows of a record or of a delta.
type rowReader struct {
	rest       []byte
	lastKey    uint64
	generation Fence
	members    int
}

// nextRecordRow decodes the next row of a record: its first key and its assignment.
func (r *rowReader) nextRecordRow() (class.Key, Assignment, error) {
	distance, err := r.uvarint()
	if err != nil {
		return 0, Assignment{}, err
	}
	r.lastKey += distance
	a, err := r.assignment()
	return class.Key(r.lastKey), a, err
}

// nextDeltaRow decodes the next row of a delta: its span and its assignment.
func (r *rowReader) nextDeltaRow() (keyspace.Span, Assignment, error) {
	distance, err := r.uvarint()
	if err != nil {
		return keyspace.Span{}, Assignment{}, err
	}
	more, err := r.uvarint()
	if err != nil {
		return keyspace.Span{}, Assignment{}, err
	}
	r.lastKey += distance
	if more >= class.KeyCount || r.lastKey+more >= class.KeyCount {
		return keyspace.Span{}, Assignment{}, &RecordError{
			Reason: fmt.Sprintf("row of key %d extends beyond the last key", r.lastKey),
		}
	}
	a, err := r.assignment()
	return keyspace.Span{From: class.Key(r.lastKey), To: class.Key(r.lastKey + more)}, a, err
}

func (r *rowReader) uvarint() (uint64, error) {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		return 0, &RecordError{Reason: "row truncated"}
	}
	r.rest = r.rest[n:]
	return value, nil
}

func (r *rowReader) assignment() (Assignment, error) {
	var fields [3]uint64
	for i := range fields {
		value, err := r.uvarint()
		if err != nil {
			return Assignment{}, err
		}
		fields[i] = value
	}
	age, length := Fence(fields[1]), fields[2]
	isValid := r.lastKey < class.KeyCount && fields[0] <= uint64(r.members) && age <= r.generation &&
		length <= uint64(len(r.rest))
	if !isValid {
		return Assignment{}, &RecordError{
			Reason: fmt.Sprintf("row of key %d has a key, owner, fence or handover length out of range", r.lastKey),
		}
	}
	a := Assignment{Owner: int(fields[0]) - 1, Fence: r.generation - age, Handover: HandoverToken(r.rest[:length])}
	r.rest = r.rest[length:]
	return a, nil
}
