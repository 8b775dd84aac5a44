package class

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is the result of a call as reported to the caller. Every call has exactly one outcome.
type Outcome int

const (
	// Unknown means that the call may have run: it was sent to the backend server, and the response was lost.
	Unknown Outcome = iota // unknown
	// Answered means that the caller received the backend server's complete response.
	Answered // answered
	// NotRun means that the call is known not to have started on a backend server.
	NotRun // not_run
)

// ParseOutcome parses the text of an outcome. Any other text is parsed as Unknown, which is the safe assumption because
// the call may have run.
func ParseOutcome(text string) Outcome {
	switch text {
	case Answered.String():
		return Answered
	case NotRun.String():
		return NotRun
	default:
		return Unknown
	}
}
