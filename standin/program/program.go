// Package program holds the commands of the stand-in, one a file.
package program

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// streams is where commands write.
type streams struct {
	out io.Writer
	err io.Writer
}

// Execute runs one command line and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	s := streams{out: out, err: errOut}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "play the platform's key-value service", &platformCommand{streams: s}},
		{"backend", "play a backend server", &backendCommand{streams: s}},
		{"cutter", "relay TCP connections that can be cut", &cutterCommand{streams: s}},
		{"fault", "set the faults of a stand-in", &faultCommand{streams: s}},
		{"load", "call the classes of a deployment", &loadCommand{streams: s}},
		{"await", "wait until a deployment is in some state", &awaitCommand{streams: s}},
		{"call", "make one call and print its outcome", &callCommand{streams: s}},
		{"runs", "check what backend servers have run", &runsCommand{streams: s}},
		{"experiment", "measure the admission policies in virtual time", &experimentCommand{streams: s}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			fmt.Fprintln(errOut, err)
			return 1
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return 0
	default:
		fmt.Fprintln(errOut, err)
		return 1
	}
}

// untilStopped returns a context that ends with SIGTERM or SIGINT.
func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// ServeError reports a server that could not serve.
type ServeError struct {
	Address string
	Cause   error
}

func (e *ServeError) Error() string { return e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// serve serves HTTP until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &ServeError{Address: address, Cause: err}
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &ServeError{Address: address, Cause: err}
	}
	return nil
}

// AnswerError reports an unexpected answer of a stand-in or daemon.
type AnswerError struct {
	URL    string
	Status int
	Body   string
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

// post sends JSON.
func post(url string, data []byte) error {
	response, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return &ServeError{Address: url, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body) // what came is told
		return &AnswerError{URL: url, Status: response.StatusCode, Body: string(body)}
	}
	return nil
}

// getJSON reads JSON.
func getJSON(url string, into any) error {
	response, err := http.Get(url)
	if err != nil {
		return &ServeError{Address: url, Cause: err}
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &ServeError{Address: url, Cause: err}
	}
	return nil
}
