package backend

import (
	"context"
	"fmt"
	"net/http"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/link"
)

// maxHealthBody is the size limit of the body of a health response.
const maxHealthBody = 64 << 10

// HealthError reports a response to a health check that does not show that an instance of the server accepts work.
type HealthError struct {
	Status int
	// Instance is the instance that answered, or empty if the response does not state it.
	Instance string
}

func (e *HealthError) Error() string {
	return fmt.Sprintf("health check answered by instance %q with status %d", e.Instance, e.Status)
}

// CheckHealth requests the server's health. It returns nil if the given instance answers that it is healthy and not
// leaving, and a HealthError if the response says otherwise.
func (client *Client) CheckHealth(ctx context.Context, path, instance string) error {
	response, err := client.requestHealth(ctx, path)
	if err != nil {
		return err
	}
	answeredBy := response.Header.Get(client.headerNames.Instance)
	if response.Status != http.StatusOK || answeredBy != instance {
		return &HealthError{Status: response.Status, Instance: answeredBy}
	}
	return nil
}

// requestHealth sends a health check. It is no call: it is not counted against any limit.
func (client *Client) requestHealth(ctx context.Context, path string) (*link.Response, error) {
	request := NewRequest(call.Call{Method: http.MethodGet, URI: path, Host: client.address}, http.Header{})
	return client.health.Do(ctx, request, "", func(*http.Response, bool) bool { return true })
}
