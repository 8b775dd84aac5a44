package operator

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/skylarkrelay/skylarkrelay/caller"
)

// explainHandler returns the handler of the explanations of requests.
func explainHandler(d Daemon, report func(error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		request := caller.Request{Method: http.MethodGet, Host: query.Get("host"), Path: query.Get("path")}
		if query.Has("key") {
			key, err := caller.ParseKey(query.Get("key"))
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			request.Key, request.HasKey = key, true
		}
		explanation, err := d.Explain(request)
		if err != nil {
			http.Error(w, err.Error(), explainStatus(err))
			return
		}
		writeJSON(w, explanation, report)
	}
}

// explainStatus returns the HTTP status for a request that was not explained.
func explainStatus(err error) int {
	var unknownHost *caller.UnknownHostError
	var notConfigured *caller.NotConfiguredError
	switch {
	case errors.As(err, &unknownHost):
		return http.StatusNotFound
	case errors.As(err, &notConfigured):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// Explain requests where a request would go now.
func (c *Client) Explain(ctx context.Context, r caller.Request) (caller.Explanation, error) {
	query := url.Values{"host": {r.Host}, "path": {r.Path}}
	if r.HasKey {
		query.Set("key", strconv.Itoa(int(r.Key)))
	}
	var e caller.Explanation
	err := c.get(ctx, explainPath+"?"+query.Encode(), &e)
	return e, err
}
