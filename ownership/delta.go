package ownership

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// deltaGenerations is the least number of generations that a delta covers, so that a daemon can apply it even if it
// missed the last few deltas.
const deltaGenerations = 8

// Delta contains what the last generations changed in a record. Records are large and change often, whereas deltas are
// small.
//
// Each change of a row sets its fence to the generation that made the change, so the rows with a fence above Since are
// exactly those that changed after generation Since.
type Delta struct {
	Service    class.Service  `json:"service"`
	Revision   store.Revision `json:"revision"`
	Since      Fence          `json:"since"`
	Generation Fence          `json:"generation"`
	Era        store.Era      `json:"era,omitempty"`
	Nonce      string         `json:"nonce"`
	// MembersSum is the digest of the members that the rows refer to. Members is empty if the previous record had the
	// same members.
	MembersSum uint64   `json:"members_sum"`
	Members    []Member `json:"members,omitempty"`
	// Rows contains a row for each changed run of keys. It consists of unsigned varints: the distance of its first key
	// from that of the previous row, its number of keys minus one, the owner plus one, the age of the fence in
	// generations, and the length of the handover token, which follows.
	Rows []byte `json:"rows"`
}

// GapError reports a delta that cannot be applied to the known record. The whole record is needed instead.
type GapError struct {
	Since, Known Fence
	Reason       string
}

func (e *GapError) Error() string {
	return fmt.Sprintf("delta since generation %d cannot be applied to record generation %d: %s",
		e.Since, e.Known, e.Reason)
}

// HasDelta reports whether the changes since the previous record can be sent as a Delta. While a record has unsettled
// members, rows change without a new fence.
func (r *Record) HasDelta(before *Record) bool {
	return before != nil && before.Era == r.Era && len(before.Unsettled) == 0 && len(r.Unsettled) == 0
}

// Delta returns the recent changes of the record, at least those since the previous record. revision is the record's
// revision in the store. It may be called only if HasDelta reports true.
func (r *Record) Delta(before *Record, revision store.Revision) Delta {
	d := Delta{
		Service:    r.Service,
		Revision:   revision,
		Since:      min(before.Generation, max(r.Generation, deltaGenerations)-deltaGenerations),
		Generation: r.Generation,
		Era:        r.Era,
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

// Apply returns the record that results from the delta. It returns a GapError if the delta does not apply to this
// record.
func (r *Record) Apply(d Delta) (*Record, error) {
	if d.Service != r.Service || r.Generation < d.Since {
		return nil, &GapError{Since: d.Since, Known: r.Generation, Reason: "the service differs or generations are missing"}
	}
	if d.Era != r.Era || len(r.Unsettled) > 0 {
		return nil, &GapError{Since: d.Since, Known: r.Generation, Reason: "the store was restored in between"}
	}
	next := r.nextGeneration(d.Nonce)
	next.Generation, next.Members = d.Generation, r.Members
	if membersSum(r.Members) != d.MembersSum {
		if len(d.Members) == 0 {
			return nil, &GapError{
				Since:  d.Since,
				Known:  r.Generation,
				Reason: "members changed and the delta does not contain them",
			}
		}
		next.Members = d.Members
		next.Keys = remapOwners(r, d.Members)
	}
	rows := rowReader{rest: d.Rows, generation: d.Generation, members: len(next.Members)}
	for len(rows.rest) > 0 {
		span, a, err := rows.nextDeltaRow()
		if err != nil {
			return nil, err
		}
		next.Keys.Set(span, a)
	}
	return next, nil
}

// remapOwners returns the keys of a record with the owner indexes changed to those of the new members. Keys whose owner
// is no longer a member get NoMember; the changed rows of the delta contain their new owners.
func remapOwners(r *Record, members []Member) keyspace.Map[Assignment] {
	newIndexes := make([]int, len(r.Members))
	for i, m := range r.Members {
		newIndexes[i] = NoMember
		for newIndex, other := range members {
			if other.Host == m.Host {
				newIndexes[i] = newIndex
			}
		}
	}
	var keys keyspace.Map[Assignment]
	for span, a := range r.Keys.Runs() {
		if a.Owner >= 0 && a.Owner < len(newIndexes) {
			a.Owner = newIndexes[a.Owner]
		}
		keys.Set(span, a)
	}
	return keys
}

// membersSum returns a digest of a list of members.
func membersSum(members []Member) uint64 {
	digest := xxhash.New()
	for _, m := range members {
		// Writes to a hash never return an error.
		_, _ = fmt.Fprintf(digest, "%q %q %d\n", m.Host, m.Instance.ID, m.Instance.Born)
	}
	return digest.Sum64()
}
