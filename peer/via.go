package peer

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// A daemon that cannot reach the daemon of a host sends a call for it to the daemon of another host, with the name of that
// one in viaHeader. That daemon forwards the call, without the header, so that it is never forwarded twice. If it
// cannot connect either, it responds with its own host and the reason Unreachable, which says that nothing was sent.

// SendVia forwards a call once to the daemon of a host by way of the daemon of another host, which is at the given
// address. That daemon reserves the place of an upload.
func (h *HopClient) SendVia(ctx context.Context, host, via ownership.HostID, address string, c call.Call) call.Result {
	return h.send(ctx, host, address, c, func(header http.Header) { header.Set(viaHeader, string(via)) })
}

// isVia reports whether this daemon is asked to forward a call to another host.
func (h HopReceiver) isVia(r *http.Request, config *class.Config) bool {
	return h.Forward != nil && config != nil && config.IsLoadAware() &&
		r.Header.Get(viaHeader) == string(h.Host) && r.Header.Get(targetHeader) != string(h.Host)
}

// forward forwards a call for another host.
func (h HopReceiver) forward(r *http.Request, c call.Call) call.Result {
	ctx, cancel := clockwork.WithDeadline(r.Context(), h.Clock, c.Deadline)
	defer cancel()
	return h.Forward(ctx, ownership.HostID(r.Header.Get(targetHeader)), c)
}

// probeID is the ID of calls that only find out whether a daemon answers.
const probeID = "probe"

// Probe reports whether the daemon at an address answers before the context ends. It sends a call that is meant for no
// host, which is rejected.
func (h *HopClient) Probe(ctx context.Context, address string) bool {
	deadline, ok := ctx.Deadline()
	if !ok {
		return false
	}
	result := h.Send(ctx, "", address, call.Call{
		ID: probeID, Class: &class.Class{}, Header: http.Header{}, Method: http.MethodGet, URI: "/", Host: probeID,
		Deadline: deadline,
	})
	return result.Host != ""
}
