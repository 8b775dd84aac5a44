// Package membership tracks the hosts of the mesh: it keeps the local host registered in the store, and holds the store
// values and announcements that daemons exchange by gossip, so that only a few daemons have to read the store.
package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Version orders the states of an entry. For a store value it is the store revision, which rises across restores of the
// store because it starts with the era. For the configuration it is the version that the operator gave it.
type Version uint64

// Entry is a replicated value, or the tombstone of a deleted one.
type Entry struct {
	Key       string  `json:"key"`
	Version   Version `json:"version"`
	Data      []byte  `json:"data,omitempty"`
	IsDeleted bool    `json:"deleted,omitempty"`
	// Value encodes the data when Data is not set: large values are encoded only when a peer requests them.
	Value Encoder `json:"-"`
}

// Encoder is a decoded, immutable value that can be encoded.
type Encoder interface{ Encode() ([]byte, error) }

// Digest summarizes the versions of all entries. Daemons with equal digests have the same entries.
type Digest uint64

// Versions holds the version of each known entry, by key.
type Versions map[string]Version

// Replica holds the newest known state of each store value that all daemons share. It is safe for concurrent use.
type Replica struct {
	mu      sync.RWMutex
	entries map[string]Entry
	digest  Digest
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{entries: map[string]Entry{}} }

// Merge stores an entry if it is newer than the known one, and reports whether it was.
func (r *Replica) Merge(e Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[e.Key]
	if e.Version <= known.Version {
		return false
	}
	// The digest is a sum, so the cost of changing one value does not depend on the number of values.
	r.digest += versionHash(e.Key, e.Version) - versionHash(e.Key, known.Version)
	r.entries[e.Key] = e
	return true
}

func versionHash(key string, version Version) Digest {
	if version == 0 {
		return 0
	}
	data := binary.LittleEndian.AppendUint64([]byte(key), uint64(version))
	return Digest(xxhash.Sum64(data))
}

// Get returns the newest known state of a value. Version zero means that none is known.
func (r *Replica) Get(key string) Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries[key]
}

// List returns the values whose key starts with a prefix, ordered by key. Deleted values are omitted.
func (r *Replica) List(prefix string) []Entry {
	return slices.DeleteFunc(r.ListAll(prefix), func(e Entry) bool { return e.IsDeleted })
}

// Digest returns the digest of all values.
func (r *Replica) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// DigestOf returns the digest of the values whose key starts with a prefix, without deleted ones.
func (r *Replica) DigestOf(prefix string) Digest {
	digest := Digest(0)
	for _, e := range r.List(prefix) {
		digest += versionHash(e.Key, e.Version)
	}
	return digest
}

// ListAll returns the values whose key starts with a prefix, including deleted ones, ordered by key.
func (r *Replica) ListAll(prefix string) []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var found []Entry
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r.entries[key])
		}
	}
	return found
}

// Versions returns the version of each value.
func (r *Replica) Versions() Versions {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := make(Versions, len(r.entries))
	for key, e := range r.entries {
		versions[key] = e.Version
	}
	return versions
}

// Newer returns the values that are newer than the given versions, ordered by key and with their data encoded.
func (r *Replica) Newer(than Versions) ([]Entry, error) {
	found := r.newer(than)
	for i, e := range found {
		if e.Data != nil || e.Value == nil {
			continue
		}
		data, err := e.Value.Encode()
		if err != nil {
			return nil, &EntryError{Key: e.Key, Cause: err}
		}
		found[i].Data = data
	}
	return found, nil
}

func (r *Replica) newer(than Versions) []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var found []Entry
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[key]; e.Version > than[key] {
			found = append(found, e)
		}
	}
	return found
}
