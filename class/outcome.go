package class

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is what a caller is told about a call. Every call ends in exactly one.
type Outcome int

const (
	// Unknown means that the call may have run: the backend server was given it and its answer was lost.
	Unknown Outcome = iota // unknown
	// Answered means that the backend server's whole answer reached the caller.
	Answered // answered
	// NotRun means that the call surely did not begin.
	NotRun // not_run
)

// ParseOutcome reads an outcome from its text. Anything unreadable is Unknown, the cautious answer.
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
