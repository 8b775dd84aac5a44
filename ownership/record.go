// Package ownership decides which daemon may give work for a slot to its backend server.
//
// It is a state machine without I/O: inputs and the time go in, effects come out.
package ownership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// lostLength is how many lost members a record remembers.
const lostLength = 16

// RecordFormat is the newest record format that this program reads.
const RecordFormat = 1

// unowned marks a slot that no member owns.
const unowned = -1

// HostID names a host of the mesh, from its settings.
type HostID string

// Incarnation tells the lives of one host's daemon apart. A later life has a higher number.
type Incarnation uint64

// Domain names a failure domain.
type Domain string

// Generation counts the changes of one cell's record.
type Generation uint64

// Revision is the store's version of one value. Zero means that the value does not exist.
type Revision uint64

// Ref names one life of one daemon.
type Ref struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
}

func (r Ref) String() string { return fmt.Sprintf("%s#%d", r.Host, r.Incarnation) }

//go:generate go tool stringer -type=MemberState -linecomment

// MemberState is what a member says of itself.
type MemberState int

const (
	// Active members take slots.
	Active MemberState = iota // active
	// Draining members give their slots away and leave.
	Draining // draining
	// Unready members run without a usable backend server and own nothing new.
	Unready // unready
)

// Member is one daemon of a cell.
type Member struct {
	Ref
	// Peer is the address of the control connection, host:port.
	Peer string `json:"peer"`
	// Hop is the address that takes forwarded calls, host:port.
	Hop string `json:"hop"`
	// Operator is the address that serves operators, host:port.
	Operator  string      `json:"operator"`
	Domain    Domain      `json:"domain"`
	State     MemberState `json:"state"`
	Witnesses []Ref       `json:"witnesses"`
	// Guard is what a taker waits in addition, for a backend server that does not check fences.
	Guard time.Duration `json:"guard_ns,omitempty"`
}

// Record is one cell: its members, and the owner and fence of each slot.
type Record struct {
	Format     int           `json:"format"`
	Service    class.Service `json:"service"`
	Generation Generation    `json:"generation"`
	// Nonce identifies the write, so that a writer whose answer was lost finds out.
	Nonce   string   `json:"nonce"`
	Members []Member `json:"members"`
	// Lost holds the members that were taken over last, the newest at the end. Work given to them has no answer.
	Lost []Ref `json:"lost,omitempty"`
	// Owners holds for each slot an index into Members, or -1.
	Owners []int16 `json:"owners"`
	// Fences holds for each slot the generation in which its owner got it.
	Fences []Generation `json:"fences"`
}

// Versioned is a record with the revision under which the store keeps it.
type Versioned struct {
	Record   *Record
	Revision Revision
}

// FormatError reports a record that this program cannot read.
type FormatError struct {
	Reason string
}

func (e *FormatError) Error() string { return "cell record: " + e.Reason }

// Decode reads a record from its stored form.
func Decode(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(r); err != nil {
		return nil, &FormatError{Reason: "damaged: " + err.Error()}
	}
	if r.Format > RecordFormat {
		return nil, &FormatError{Reason: fmt.Sprintf("format %d is newer than %d", r.Format, RecordFormat)}
	}
	if len(r.Owners) == 0 || len(r.Owners) != len(r.Fences) {
		return nil, &FormatError{Reason: "owners and fences do not match"}
	}
	for _, owner := range r.Owners {
		if owner < unowned || int(owner) >= len(r.Members) {
			return nil, &FormatError{Reason: fmt.Sprintf("owner index %d of %d members", owner, len(r.Members))}
		}
	}
	return r, nil
}

// Encode returns the stored form of a record.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a Record holds nothing that JSON refuses
	}
	return data
}

// Clone returns a deep copy.
func (r *Record) Clone() *Record {
	c := *r
	c.Members = slices.Clone(r.Members)
	for i := range c.Members {
		c.Members[i].Witnesses = slices.Clone(r.Members[i].Witnesses)
	}
	c.Lost = slices.Clone(r.Lost)
	c.Owners = slices.Clone(r.Owners)
	c.Fences = slices.Clone(r.Fences)
	return &c
}

// Find returns the member with the given ref, or nil.
func (r *Record) Find(ref Ref) *Member {
	if i := r.index(ref); i >= 0 {
		return &r.Members[i]
	}
	return nil
}

// Owner returns the owner of a slot, or nil.
func (r *Record) Owner(slot class.Slot) *Member {
	if int(slot) >= len(r.Owners) || r.Owners[slot] == unowned {
		return nil
	}
	return &r.Members[r.Owners[slot]]
}

// SlotsOf returns the slots that a member owns.
func (r *Record) SlotsOf(ref Ref) []class.Slot {
	index := r.index(ref)
	if index < 0 {
		return nil
	}
	var slots []class.Slot
	for s, owner := range r.Owners {
		if int(owner) == index {
			slots = append(slots, class.Slot(s))
		}
	}
	return slots
}

func (r *Record) index(ref Ref) int {
	return slices.IndexFunc(r.Members, func(m Member) bool { return m.Ref == ref })
}

// remove takes a member out; its slots become unowned.
func (r *Record) remove(ref Ref) {
	gone := r.index(ref)
	if gone < 0 {
		return
	}
	r.Members = slices.Delete(r.Members, gone, gone+1)
	for s, owner := range r.Owners {
		switch {
		case int(owner) == gone:
			r.Owners[s] = unowned
		case int(owner) > gone:
			r.Owners[s] = owner - 1
		}
	}
}

// lose removes a member that was taken over.
func (r *Record) lose(ref Ref) {
	r.remove(ref)
	r.Lost = append(r.Lost, ref)
	r.Lost = r.Lost[max(0, len(r.Lost)-lostLength):]
}

// assign gives a slot to the member at an index, under the record's generation as fence.
func (r *Record) assign(slot class.Slot, index int) {
	r.Owners[slot] = int16(index)
	r.Fences[slot] = r.Generation
}

// newRecord returns the record of a cell that has no members yet.
func newRecord(service class.Service, slots int) *Record {
	r := &Record{
		Format:  RecordFormat,
		Service: service,
		Owners:  make([]int16, slots),
		Fences:  make([]Generation, slots),
	}
	for i := range r.Owners {
		r.Owners[i] = unowned
	}
	return r
}
