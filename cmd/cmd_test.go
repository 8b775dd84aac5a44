package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/cmd"
)

func TestExitCodes(t *testing.T) {
	good := filepath.Join("..", "examples", "lorient", "lot-register-1.toml")
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("host = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"--help"}, cmd.ExitOK, "Available commands"},
		{[]string{"version"}, cmd.ExitOK, "skylarkrelay " + cmd.Version},
		{[]string{"version", "--json"}, cmd.ExitOK, `"record_format": 1`},
		{[]string{"fly"}, cmd.ExitUsage, "Unknown command"},
		{[]string{"check"}, cmd.ExitUsage, "required argument"},
		{[]string{"check", good}, cmd.ExitOK, "1 files are good"},
		{[]string{"check", bad}, cmd.ExitInvalid, "bad.toml:1: host: must be a text"},
		{[]string{"check", "--json", bad}, cmd.ExitInvalid, `"field": "host"`},
		{[]string{"check", "missing.toml"}, cmd.ExitFailed, "read missing.toml"},
		{[]string{"run", bad}, cmd.ExitInvalid, "caller.listen: is missing"},
		{[]string{"status", "--daemon", "127.0.0.1:1"}, cmd.ExitUnreachable, "daemon 127.0.0.1:1"},
	} {
		g := gomega.NewWithT(t)
		var out bytes.Buffer
		g.Expect(cmd.Execute(c.args, &out, &out)).To(gomega.Equal(c.code), "%v: %s", c.args, &out)
		g.Expect(out.String()).To(gomega.ContainSubstring(c.out), "%v", c.args)
	}
}
