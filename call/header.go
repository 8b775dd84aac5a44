package call

import (
	"net/http"
	"strings"
)

// HeaderNames holds the names of the headers that callers, daemons and backend servers share. The adapter for a
// platform supplies the names that a deployment uses.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller. Backend servers echo it in the response.
	RequestID string
	// DeadlineMS is the number of milliseconds that the caller will wait.
	DeadlineMS string
	// Signature marks a response as written by a backend server.
	Signature string
	// ExpectedInstance is the backend server instance (one run of its process) that a request is meant for.
	ExpectedInstance string
	// NotExecuted marks the response to a request that did not run.
	NotExecuted string
	// Origin is the service of the host that accepted the request.
	Origin string
	// Key is the key that the request refers to.
	Key string
	// RateLimit is the number of requests per second that a backend server accepts from all hosts together.
	RateLimit string
	// Leaving states, with the value LeavingValue, that a backend server is leaving.
	Leaving string
	// ServerLoad states the load of a backend server. See ServerLoad.
	ServerLoad string
	// Warmup is for how many more milliseconds a backend server is cold, in responses to health checks.
	Warmup string
	// Instance is the backend server instance that answers, in responses to health checks.
	Instance string
}

// DefaultHeaderNames returns the header names that are used without a platform adapter.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID:        "Skylark-Request",
		DeadlineMS:       "Skylark-Deadline-Ms",
		Signature:        "Skylark-Signature",
		ExpectedInstance: "Skylark-Instance",
		NotExecuted:      "Skylark-Not-Executed",
		Origin:           "Skylark-Origin",
		Key:              "Skylark-Key",
		RateLimit:        "Skylark-Rate-Limit",
		Leaving:          "Skylark-Leaving",
		ServerLoad:       "Skylark-Server-Load",
		Warmup:           "Skylark-Warmup-Ms",
		Instance:         "Skylark-Server-Instance",
	}
}

// LeavingValue is the value of the Leaving header of a backend server that is leaving.
const LeavingValue = "1"

// hopHeaderPrefix is the prefix of the headers that daemons add to forwarded calls and their responses.
const hopHeaderPrefix = "Skylark-Hop-"

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers, including those that the Connection header lists, and Content-Length.
func StripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
	delete(header, "Content-Length")
}

// StripDaemonHeaders removes the headers that only daemons may set, on forwarded calls and their responses.
func StripDaemonHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, hopHeaderPrefix) {
			delete(header, name)
		}
	}
}
