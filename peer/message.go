// Package peer connects daemons: control messages over JSON-RPC, and forwarded calls over HTTP/2.
package peer

import (
	"encoding/json"
	"fmt"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// Methods of the control protocol.
const (
	methodVouch    = "vouch"
	methodVouched  = "vouched"
	methodSeal     = "seal"
	methodSealed   = "sealed"
	methodSilence  = "silence"
	methodLoad     = "load"
	methodAdvert   = "advert"
	methodPush     = "push"
	methodDigest   = "digest"
	methodFetch    = "fetch"
	methodVersions = "versions"
)

// Envelope carries a message about ownership, with what every such message tells besides.
type Envelope struct {
	// From is the control address of the sender.
	From string `json:"f"`
	// Config is the revision of the configuration that the sender has in force.
	Config class.Revision `json:"c"`
	// At lets the receiver's time line sort after the sender's. Vouches go without it: they are most of all messages
	// and cause no events.
	At   *timeline.Stamp `json:"a,omitempty"`
	Body json.RawMessage `json:"b"`

	Message ownership.Message `json:"-"`
}

// Advert tells that the sender knows a version of a value.
type Advert struct {
	From     string            `json:"f"`
	Key      string            `json:"k"`
	Revision platform.Revision `json:"r"`
}

// DigestNote tells the sum of all versions that the sender knows.
type DigestNote struct {
	From   string        `json:"f"`
	Digest gossip.Digest `json:"d,string"`
}

// fetchRequest asks for a value.
type fetchRequest struct {
	Key string `json:"k"`
}

// MessageError reports a control message that could not be read.
type MessageError struct {
	Method string
	Reason string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("control message %q: %s", e.Method, e.Reason)
}

// methodOf returns the method of a message.
func methodOf(m ownership.Message) string {
	switch m.(type) {
	case ownership.VouchRequest:
		return methodVouch
	case ownership.VouchReply:
		return methodVouched
	case ownership.SealRequest:
		return methodSeal
	case ownership.SealReply:
		return methodSealed
	case ownership.LoadNote:
		return methodLoad
	default:
		return methodSilence
	}
}

// decodeMessage reads the body of an envelope.
func decodeMessage(method string, body json.RawMessage) (ownership.Message, error) {
	switch method {
	case methodVouch:
		return decodeAs[ownership.VouchRequest](method, body)
	case methodVouched:
		return decodeAs[ownership.VouchReply](method, body)
	case methodSeal:
		return decodeAs[ownership.SealRequest](method, body)
	case methodSealed:
		return decodeAs[ownership.SealReply](method, body)
	case methodLoad:
		return decodeAs[ownership.LoadNote](method, body)
	case methodSilence:
		return decodeAs[ownership.SilenceNotice](method, body)
	default:
		return nil, &MessageError{Method: method, Reason: "unknown method"}
	}
}

func decodeAs[M ownership.Message](method string, body json.RawMessage) (ownership.Message, error) {
	var message M
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, &MessageError{Method: method, Reason: err.Error()}
	}
	return message, nil
}
