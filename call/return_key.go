package call

import (
	"encoding/binary"
	"hash/maphash"
)

// ReturnKey identifies the requests of one caller that are the same, within this process. It costs a fraction of a
// Fingerprint and may rarely be the same for different requests.
type ReturnKey uint64

// returnKeyBytes bounds how much of the start and of the end of a body is part of a ReturnKey.
const returnKeyBytes = 4 << 10

// returnKeySeed differs between processes, so that nobody can make requests with the same key.
var returnKeySeed = maphash.MakeSeed()

// ReturnKey returns the key by which a call is recognised that returns with a new request ID.
func (c Call) ReturnKey() ReturnKey {
	var digest maphash.Hash
	digest.SetSeed(returnKeySeed)
	var length [8]byte
	for _, part := range []string{c.Method, c.Host, c.URI} {
		// Writes to a hash never return an error. The lengths keep the parts apart.
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	binary.LittleEndian.PutUint64(length[:], uint64(len(c.Body)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(c.Body[:min(len(c.Body), returnKeyBytes)])
	_, _ = digest.Write(c.Body[max(0, len(c.Body)-returnKeyBytes):])
	return ReturnKey(digest.Sum64())
}
