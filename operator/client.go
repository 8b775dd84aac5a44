package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// Client asks one daemon.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the daemon whose operator address is given.
func NewClient(address string) *Client { return &Client{address: address, http: &http.Client{}} }

// UnreachableError reports a daemon that did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RefusedError reports a request that the daemon refused.
type RefusedError struct {
	Kind    string
	Message string
}

func (e *RefusedError) Error() string { return e.Message }

// Status asks for the daemon's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, statusPath, nil, &s)
	return s, err
}

// Timeline asks for the daemon's events after a stamp.
func (c *Client) Timeline(ctx context.Context, after timeline.Stamp) ([]timeline.Event, error) {
	var events []timeline.Event
	path := fmt.Sprintf("%s?after=%d.%d", timelinePath, after.Wall, after.Counter)
	err := c.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// Drain asks the daemon to give its slots away.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, drainPath, nil, &struct{}{})
}

// Abandon gives the operator's word that a member is gone for good.
func (c *Client) Abandon(ctx context.Context, member string) error {
	return c.call(ctx, http.MethodPost, abandonPath+"?member="+url.QueryEscape(member), nil, &struct{}{})
}

// History asks for the accepted changes, the newest first.
func (c *Client) History(ctx context.Context) ([]Change, error) {
	var changes []Change
	err := c.call(ctx, http.MethodGet, configPath, nil, &changes)
	return changes, err
}

// Apply asks for a change of the configuration that the operator read at a revision.
func (c *Client) Apply(ctx context.Context, based class.Revision, author, text string) (Change, error) {
	var change Change
	request := applyRequest{Based: based, Author: author, Text: text}
	err := c.call(ctx, http.MethodPost, configPath, request, &change)
	return change, err
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return refusedBy(answer)
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	return nil
}

// refusedBy turns a failure back into the error that the daemon met.
func refusedBy(answer []byte) error {
	var f failure
	if err := json.Unmarshal(answer, &f); err != nil {
		return &RefusedError{Kind: kindUnavailable, Message: string(answer)}
	}
	switch {
	case f.Kind == kindProblems:
		return &settings.ProblemsError{Problems: f.Problems}
	case f.Kind == kindConflict && f.Other != nil:
		return &ConflictError{Based: f.Other.Revision - 1, Other: *f.Other}
	default:
		return &RefusedError{Kind: f.Kind, Message: f.Message}
	}
}
