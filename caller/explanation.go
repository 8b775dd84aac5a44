package caller

import (
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Request describes the request of a caller whose route is explained.
type Request struct {
	Method string
	Host   string
	Path   string
	Key    class.Key
	HasKey bool
}

// Explanation states where a request would go now and why.
type Explanation struct {
	ConfigVersion class.Version `json:"config_version"`
	// Class is empty if no class matches.
	Class        class.Name             `json:"class,omitempty"`
	Rank         class.Rank             `json:"rank"`
	IsIdempotent bool                   `json:"idempotent"`
	LatencyMS    int64                  `json:"latency_target_ms"`
	TimeoutMS    int64                  `json:"timeout_ms"`
	Deadline     time.Time              `json:"deadline"`
	Verdict      Verdict                `json:"verdict"`
	Reason       string                 `json:"reason,omitempty"`
	Destinations []ExplainedDestination `json:"destinations"`
}

// ExplainedDestination is the explanation for one of the services to which a call may go.
type ExplainedDestination struct {
	Service class.Service `json:"service"`
	Weight  int           `json:"weight"`
	// Share is the probability with which a call goes to the service.
	Share   float64 `json:"share"`
	IsKeyed bool    `json:"keyed"`
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason,omitempty"`
	// RetryAfterMS is the least time after which a rejected call may find capacity.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Host is the host of the preferred server. IsCutOff reports whether it is reached by way of another domain.
	Host       ownership.HostID     `json:"host,omitempty"`
	IsCutOff   bool                 `json:"cut_off,omitempty"`
	Key        *ExplainedKey        `json:"key,omitempty"`
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	// Compared is the number of candidates of which a call compares a random subset, if they are more.
	Compared int             `json:"compared,omitempty"`
	Entry    *ExplainedEntry `json:"entry,omitempty"`
	// Admission is set by the daemon for the preferred server.
	Admission  *admission.Assessment `json:"admission,omitempty"`
	BudgetLeft float64               `json:"retry_budget_left"`
	IsFailing  bool                  `json:"failing,omitempty"`

	call call.Call
}

// ExplainedKey is the assignment of a key. Generation is the revision of the record.
type ExplainedKey struct {
	Key        class.Key        `json:"key"`
	Owner      ownership.HostID `json:"owner,omitempty"`
	Fence      ownership.Fence  `json:"fence"`
	Generation ownership.Fence  `json:"generation"`
	// RecordAgeMS is how long the daemon has routed by the record, if that is known.
	RecordAgeMS *int64 `json:"record_age_ms,omitempty"`
}

// ExplainedCandidate is one server of a service, with what counts for and against it.
type ExplainedCandidate struct {
	Host          ownership.HostID        `json:"host"`
	FailureDomain ownership.FailureDomain `json:"failure_domain"`
	IsEligible    bool                    `json:"eligible"`
	// Score is lower for preferred servers: the expected time in seconds, with penalties.
	Score       float64   `json:"score"`
	InFlight    int       `json:"in_flight"`
	FailureRate float64   `json:"failure_rate"`
	Load        *LoadSeen `json:"load,omitempty"`
	// ColdTokens is the number of calls that this daemon may send to a cold server now.
	ColdTokens *float64 `json:"cold_tokens,omitempty"`
	Reasons    []string `json:"reasons,omitempty"`
}

// LoadSeen is the last known load of a server and its age.
type LoadSeen struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	WaitMS  int64 `json:"wait_ms"`
	AgeMS   int64 `json:"age_ms"`
}

// ExplainedEntry states whether the entry daemon rejects the call itself, and the bound of the first offer.
type ExplainedEntry struct {
	IsRejected    bool  `json:"rejected"`
	RestMS        int64 `json:"rest_ms"`
	IsProbe       bool  `json:"probe,omitempty"`
	MaxWaitMS     int64 `json:"max_wait_ms"`
	IsLast        bool  `json:"last_offer"`
	retryAfterFor time.Duration
}

// UnknownHostError reports a host that no class of the configuration names.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string {
	return "host " + strconv.Quote(e.Host) + ": no class of the configuration is for this host"
}

// KeyError reports a malformed key.
type KeyError struct{ Text string }

func (e *KeyError) Error() string {
	return "key " + strconv.Quote(e.Text) + ": must be a number from 0 to 65535"
}

// PathError reports a path that is not one of a request.
type PathError struct{ Text string }

func (e *PathError) Error() string {
	return "path " + strconv.Quote(e.Text) + ": must begin with a slash"
}

// NotConfiguredError reports that the daemon has no configuration yet.
type NotConfiguredError struct{}

func (e *NotConfiguredError) Error() string { return "the daemon has no configuration yet" }

// ParseKey parses a key as in the header of a request.
func ParseKey(text string) (class.Key, error) {
	key, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, &KeyError{Text: text}
	}
	return class.Key(key), nil
}

// conclude sets the verdict to the worst of the services to which the call may go.
func (e *Explanation) conclude() {
	e.Verdict, e.Reason = Served, ""
	for _, d := range e.Destinations {
		if d.Share > 0 && d.Verdict > e.Verdict {
			e.Verdict, e.Reason = d.Verdict, d.Reason
		}
	}
}

// AssessLocal completes the explanation with the admission verdicts of the server beside this daemon, for the services
// whose preferred server it is. assess must change nothing.
func (e *Explanation) AssessLocal(
	self ownership.HostID,
	assess func(c call.Call) (verdict *admission.Assessment, rejection call.Reason, retryAfterMS int64),
) {
	for i := range e.Destinations {
		d := &e.Destinations[i]
		if d.Host != self || d.Verdict != Served {
			continue
		}
		verdict, rejection, retryAfterMS := assess(d.call)
		d.Admission = verdict
		if rejection != call.None {
			d.Verdict, d.Reason, d.RetryAfterMS = Rejected, rejection.String(), retryAfterMS
		}
	}
	if e.Class != "" {
		e.conclude()
	}
}
