package call

import (
	"net/http"
	"strings"
)

// HeaderNames names the headers that callers, daemons and backend servers share. An adapter supplies the names that a
// deployment uses.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; backend servers echo it.
	RequestID string
	// DeadlineMS is how many milliseconds the caller will wait.
	DeadlineMS string
	// Signature marks an answer as a backend server's own.
	Signature string
	// ExpectedInstance names the life of the backend server that a request is for.
	ExpectedInstance string
	// NotExecuted marks the answer to a request that did not run.
	NotExecuted string
	// Origin is the service of the host that took the request in.
	Origin string
	// Key is the key that the request is about.
	Key string
}

// OwnHeaders are the product's own names.
func OwnHeaders() HeaderNames {
	return HeaderNames{
		RequestID:        "Skylark-Request",
		DeadlineMS:       "Skylark-Deadline-Ms",
		Signature:        "Skylark-Signature",
		ExpectedInstance: "Skylark-Instance",
		NotExecuted:      "Skylark-Not-Executed",
		Origin:           "Skylark-Origin",
		Key:              "Skylark-Key",
	}
}

// internalPrefix begins the headers between daemons.
const internalPrefix = "Skylark-Hop-"

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripConnection removes the headers that concern one connection only, among them those that Connection names.
func StripConnection(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
	delete(header, "Content-Length")
}

// StripInternal removes the headers that only daemons may set.
func StripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
}
