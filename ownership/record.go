package ownership

import (
	"encoding/json"
	"fmt"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// RecordFormat is the version of the record's format. Daemons refuse records of a later one.
const RecordFormat = 2

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

// wireRecord is the record in the store. Rows are first key, owner, fence and, if there is one, the handover.
type wireRecord struct {
	Format     int               `json:"format"`
	Service    class.Service     `json:"service"`
	Generation Fence             `json:"generation"`
	Members    []Member          `json:"members"`
	Rows       []json.RawMessage `json:"rows"`
	Nonce      string            `json:"nonce"`
}

// Encode writes the record.
func (r *Record) Encode() ([]byte, error) {
	wire := wireRecord{Format: RecordFormat, Service: r.Service, Generation: r.Generation, Members: r.Members, Nonce: r.Nonce}
	for span, a := range r.Keys.Runs() {
		row := fmt.Appendf(nil, "[%d,%d,%d]", span.From, a.Owner, a.Fence)
		if a.Handover != "" {
			row = fmt.Appendf(nil, "[%d,%d,%d,%q]", span.From, a.Owner, a.Fence, a.Handover)
		}
		wire.Rows = append(wire.Rows, row)
	}
	return json.Marshal(wire)
}

// Decode reads a record.
func Decode(data []byte) (*Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if wire.Format > RecordFormat {
		return nil, &RecordError{Reason: fmt.Sprintf("format %d is newer than %d", wire.Format, RecordFormat)}
	}
	if wire.Service == "" || len(wire.Rows) == 0 {
		return nil, &RecordError{Reason: "service or rows are missing"}
	}
	r := &Record{Service: wire.Service, Generation: wire.Generation, Members: wire.Members, Nonce: wire.Nonce}
	for _, raw := range wire.Rows {
		from, a, err := decodeRow(raw, len(wire.Members))
		if err != nil {
			return nil, err
		}
		r.Keys.Set(keyspace.Span{From: from, To: class.KeyCount - 1}, a)
	}
	return r, nil
}

func decodeRow(raw json.RawMessage, members int) (class.Key, Assignment, error) {
	var a Assignment
	var from class.Key
	fields := []any{&from, &a.Owner, &a.Fence, &a.Handover}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return 0, a, &RecordError{Reason: "row " + string(raw) + ": " + err.Error()}
	}
	if a.Owner < Nobody || a.Owner >= members {
		return 0, a, &RecordError{Reason: "row " + string(raw) + ": no such member"}
	}
	return from, a, nil
}
