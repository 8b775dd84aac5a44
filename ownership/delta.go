package ownership

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// deltaReach is over how many generations a delta reaches back, so that it can be applied where the last few were missed.
const deltaReach = 8

// Delta is what the last generations changed in a record. Records are large and change often; deltas are small.
//
// Each change of a row raises its fence to the generation that made it, so the rows with a fence above Since are all that
// changed after that generation.
type Delta struct {
	Service    class.Service  `json:"service"`
	Revision   store.Revision `json:"revision"`
	Since      Fence          `json:"since"`
	Generation Fence          `json:"generation"`
	Nonce      string         `json:"nonce"`
	// MembersSum identifies the members that the rows refer to. Members is empty where the record before had the same.
	MembersSum uint64   `json:"members_sum"`
	Members    []Member `json:"members,omitempty"`
	// Rows holds, for each changed run of keys, unsigned varints: the distance of its first key from the last run's, its
	// size less one, the owner plus one, the age of the fence, and the length of the handover, which follows.
	Rows []byte `json:"rows"`
}

// GapError reports a delta that does not follow from the known record: the whole one is needed.
type GapError struct {
	Since, Known Fence
	Reason       string
}

func (e *GapError) Error() string {
	return fmt.Sprintf("change since generation %d cannot be applied to %d: %s", e.Since, e.Known, e.Reason)
}

// Delta returns what changed lately in the record, which follows an earlier one and has a revision in the store.
func (r *Record) Delta(before *Record, revision store.Revision) Delta {
	d := Delta{
		Service:    r.Service,
		Revision:   revision,
		Since:      min(before.Generation, max(r.Generation, deltaReach)-deltaReach),
		Generation: r.Generation,
		Nonce:      r.Nonce,
		MembersSum: membersSum(r.Members),
	}
	if d.MembersSum != membersSum(before.Members) {
		d.Members = r.Members
	}
	last := class.Key(0)
	for span, a := range r.Keys.Runs() {
		if a.Fence <= d.Since {
			continue
		}
		d.Rows = binary.AppendUvarint(d.Rows, uint64(span.From-last))
		d.Rows = binary.AppendUvarint(d.Rows, uint64(span.Size()-1))
		d.Rows = appendAssignment(d.Rows, a, r.Generation)
		last = span.From
	}
	return d
}

// Apply returns the record that a delta leads to. A GapError says that this one is too old for it.
func (r *Record) Apply(d Delta) (*Record, error) {
	if d.Service != r.Service || r.Generation < d.Since {
		return nil, &GapError{Since: d.Since, Known: r.Generation, Reason: "generations are missing"}
	}
	next := &Record{Service: r.Service, Generation: d.Generation, Members: r.Members, Nonce: d.Nonce, Keys: r.Keys.Clone()}
	if membersSum(r.Members) != d.MembersSum {
		if len(d.Members) == 0 {
			return nil, &GapError{Since: d.Since, Known: r.Generation, Reason: "members are missing"}
		}
		next.Members = d.Members
		next.Keys = renumbered(r, d.Members)
	}
	rows := rowReader{rest: d.Rows, generation: d.Generation, members: len(next.Members)}
	for len(rows.rest) > 0 {
		span, a, err := rows.nextSpan()
		if err != nil {
			return nil, err
		}
		next.Keys.Set(span, a)
	}
	return next, nil
}

// renumbered returns the keys of a record with the owners' places among other members. Keys whose owner is no member any
// more are among the changed rows of a delta.
func renumbered(r *Record, members []Member) keyspace.Map[Assignment] {
	places := make([]int, len(r.Members))
	for i, m := range r.Members {
		places[i] = Nobody
		for place, other := range members {
			if other.Host == m.Host {
				places[i] = place
			}
		}
	}
	var keys keyspace.Map[Assignment]
	for span, a := range r.Keys.Runs() {
		if a.Owner >= 0 && a.Owner < len(places) {
			a.Owner = places[a.Owner]
		}
		keys.Set(span, a)
	}
	return keys
}

// membersSum identifies a list of members.
func membersSum(members []Member) uint64 {
	digest := xxhash.New()
	for _, m := range members {
		// A hash never fails to take bytes.
		_, _ = fmt.Fprintf(digest, "%q %q %d\n", m.Host, m.Instance.ID, m.Instance.Born)
	}
	return digest.Sum64()
}
