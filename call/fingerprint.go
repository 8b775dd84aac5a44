package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same to a backend server: of the same origin, with the same method,
// target and body. It does not reveal the body.
type Fingerprint [16]byte

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a FingerprintError.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return &FingerprintError{Text: string(text[:min(len(text), 2*len(f)+1)])}
	}
	copy(f[:], decoded)
	return nil
}

// FingerprintError reports a text that is no fingerprint.
type FingerprintError struct{ Text string }

// Error implements error.
func (e *FingerprintError) Error() string { return "invalid fingerprint of a request: " + e.Text }

// Fingerprint returns the fingerprint of the call.
func (c Call) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{
		[]byte(c.Origin), []byte(c.Method), []byte(c.Host), []byte(c.URI), c.Body,
	} {
		// Writes to a hash never return an error. The lengths keep the parts apart.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}
