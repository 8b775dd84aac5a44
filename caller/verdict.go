package caller

import "fmt"

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict states what would happen to a request now. Greater verdicts are worse.
type Verdict int

const (
	// Served means that the request would be sent to a server.
	Served Verdict = iota // served
	// Rejected means that the request would be rejected, as not run.
	Rejected // rejected
	// NoRoute means that no class matches the request, or that no server is in use for it.
	NoRoute // no_route
)

// VerdictError reports the text of an unknown verdict.
type VerdictError struct{ Text string }

func (e *VerdictError) Error() string { return fmt.Sprintf("unknown verdict %q", e.Text) }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{Served, Rejected, NoRoute} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return &VerdictError{Text: string(text)}
}
