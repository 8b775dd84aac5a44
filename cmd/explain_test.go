package cmd_test

import (
	"bytes"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/cmd"
	"github.com/skylarkrelay/skylarkrelay/operator"
)

// explainingDaemon answers explanations only.
type explainingDaemon struct {
	operator.Daemon
}

func (explainingDaemon) Explain(r caller.Request) (caller.Explanation, error) {
	if r.Host != "h" {
		return caller.Explanation{}, &caller.UnknownHostError{Host: r.Host}
	}
	e := caller.Explanation{
		ConfigVersion: 4, Class: "read", Rank: 1, IsIdempotent: true, LatencyMS: 150, TimeoutMS: 400,
		Deadline: time.Unix(1, 0).UTC(),
	}
	age := int64(90)
	e.Destinations = []caller.ExplainedDestination{{
		Service: "s", Weight: 2, Share: 1, IsKeyed: true, Host: "a", BudgetLeft: 3.5,
		Key: &caller.ExplainedKey{Key: r.Key, Owner: "a", Fence: 3, Generation: 5, RecordAgeMS: &age},
		Candidates: []caller.ExplainedCandidate{{
			Host: "a", FailureDomain: "d", IsEligible: true, Score: 0.02, Reasons: []string{"failure rate 0.10"},
			Load: &caller.LoadSeen{Running: 2, AgeMS: 60},
		}},
		Entry:     &caller.ExplainedEntry{MaxWaitMS: 11},
		Admission: &admission.Assessment{IsAdmitted: true, ServiceTimeMS: 35, State: admission.State{Running: 2, Limit: 8}},
	}}
	switch r.Path {
	case "/full":
		e.Verdict, e.Reason = caller.Rejected, "overload"
	case "/none":
		e.Verdict, e.Reason = caller.NoRoute, "no_server"
	}
	return e, nil
}

// TestExplainCommand guards against exit codes and errors that scripts cannot rely on.
func TestExplainCommand(t *testing.T) {
	server := httptest.NewServer(operator.Handler(explainingDaemon{}, func(err error) { t.Error(err) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for name, c := range map[string]struct {
		args     []string
		wantCode int
		want     string
	}{
		"served":             {[]string{"--host", "h", "--path", "/r", "--key", "9"}, cmd.ExitOK, "9, owner a, fence 3, record 5, age 90 ms"},
		"rejected":           {[]string{"--host", "h", "--path", "/full"}, cmd.ExitRejected, "rejected, overload"},
		"no route":           {[]string{"--host", "h", "--path", "/none"}, cmd.ExitNoRoute, "no_route, no_server"},
		"unknown host":       {[]string{"--host", "x", "--path", "/r"}, cmd.ExitFailed, `host "x": no class`},
		"key is no number":   {[]string{"--host", "h", "--path", "/r", "--key", "gold"}, cmd.ExitFailed, `key "gold": must be`},
		"key is too great":   {[]string{"--host", "h", "--path", "/r", "--key", "65536"}, cmd.ExitFailed, "0 to 65535"},
		"empty key":          {[]string{"--host", "h", "--path", "/r", "--key", ""}, cmd.ExitFailed, "0 to 65535"},
		"no daemon":          {[]string{"--at", "127.0.0.1:1", "--host", "h", "--path", "/r"}, cmd.ExitFailed, "daemon 127.0.0.1:1"},
		"host is missing":    {[]string{"--path", "/r"}, cmd.ExitUsage, "host"},
		"unknown output":     {[]string{"--host", "h", "--path", "/r", "--output", "xml"}, cmd.ExitUsage, "xml"},
		"rejected, in JSON":  {[]string{"--host", "h", "--path", "/full", "--output", "json"}, cmd.ExitRejected, `"verdict": "rejected"`},
		"address is missing": {[]string{"--at", "", "--host", "h", "--path", "/r"}, cmd.ExitFailed, "explain:"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var out bytes.Buffer
			args := append([]string{"explain", "--at", address}, c.args...)
			g.Expect(cmd.Execute(args, &out, &out)).To(gomega.Equal(c.wantCode), out.String())
			g.Expect(out.String()).To(gomega.ContainSubstring(c.want))
		})
	}
}

// TestExplainJSON guards against changes of the names that programs read.
func TestExplainJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(operator.Handler(explainingDaemon{}, func(err error) { t.Error(err) }))
	defer server.Close()
	var out bytes.Buffer
	args := []string{"explain", "--at", strings.TrimPrefix(server.URL, "http://"), "--host", "h", "--path", "/r", "--key", "9", "--output", "json"}
	g.Expect(cmd.Execute(args, &out, &out)).To(gomega.Equal(cmd.ExitOK))
	want, err := os.ReadFile("testdata/explain.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.String()).To(gomega.Equal(string(want)))
}
