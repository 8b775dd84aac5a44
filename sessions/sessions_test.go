// Package sessions_test runs whole sessions over real processes and compares them with golden files.
package sessions_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/skylarkrelay/skylarkrelay/cmd"
	"github.com/skylarkrelay/skylarkrelay/standin/program"
)

// TestMain runs one session at a time: each has up to 25 processes.
func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", "1"); err != nil {
		panic(err) // the flag is the testing package's own
	}
	testscript.Main(m, map[string]func(){
		"skylarkrelay": func() { os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":      func() { os.Exit(program.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// firstNet is the first of the loopback networks that sessions use, one each.
const firstNet = 40

var nextNet atomic.Int64

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_SESSIONS") != "",
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":      start,
			"signal":     signal,
			"ends":       ends,
			"deployment": deployment,
			"plain":      plain,
			"on-net":     onNet,

			"replace":     replace,
			"tighten":     tighten,
			"owner-is":    ownerIs,
			"abandon-all": abandonAll,
			"key-of":      keyOf,
		},
	})
}

// processes holds the processes of a session by name.
type processes map[string]*exec.Cmd

type processesKey struct{}

// setup gives a session its own network and ends its processes.
func setup(env *testscript.Env) error {
	net := fmt.Sprintf("127.%d.0", firstNet+nextNet.Add(1))
	env.Setenv("NET", net)
	env.Setenv("SKYLARKRELAY_DAEMON", net+".1:7405")
	running := processes{}
	env.Values[processesKey{}] = running
	env.Defer(func() {
		for _, c := range running {
			_ = c.Process.Kill() // it may have ended
			_ = c.Wait()         // its end was asked for
		}
	})
	return nil
}

func processesOf(ts *testscript.TestScript) processes {
	return ts.Value(processesKey{}).(processes)
}

// start NAME PROGRAM ARGS... starts a process whose output goes to NAME.log.
func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	path, err := exec.LookPath(args[1])
	if found := lookIn(ts.Getenv("PATH"), args[1]); found != "" {
		path, err = found, nil
	}
	ts.Check(err)
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	defer log.Close()
	c := exec.Command(path, args[2:]...)
	c.Dir = ts.MkAbs(".")
	c.Stdout = log
	c.Stderr = log
	ts.Check(c.Start())
	processesOf(ts)[args[0]] = c
}

func lookIn(path, name string) string {
	for _, dir := range filepath.SplitList(path) {
		full := filepath.Join(dir, name)
		if info, err := os.Stat(full); err == nil && !info.IsDir() {
			return full
		}
	}
	return ""
}

// signal NAME TERM|KILL|STOP|CONT sends a signal.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	c := processesOf(ts)[args[0]]
	if c == nil {
		ts.Fatalf("no process %s", args[0])
	}
	ts.Check(c.Process.Signal(signals[args[1]]))
}

// ends NAME CODE waits for a process to end with an exit code, -1 for a signal.
func ends(ts *testscript.TestScript, _ bool, args []string) {
	c := processesOf(ts)[args[0]]
	if c == nil {
		ts.Fatalf("no process %s", args[0])
	}
	_ = c.Wait() // the exit code is looked at
	delete(processesOf(ts), args[0])
	if got := strconv.Itoa(c.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s ended with %s, not %s", args[0], got, args[1])
	}
}

// deployment PLACE starts the platform, daemons and backend servers of an example, and awaits their balance.
func deployment(ts *testscript.TestScript, _ bool, args []string) {
	examples, err := filepath.Abs(filepath.Join("..", "examples", args[0]))
	ts.Check(err)
	files, err := filepath.Glob(filepath.Join(examples, "*.toml"))
	ts.Check(err)
	net := ts.Getenv("NET")
	start(ts, false, []string{"platform", "standin", "platform", "--listen", net + ".100:7300"})
	count := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		ts.Check(err)
		moved := regexp.MustCompile(`127\.\d+\.0\.`).ReplaceAllString(string(text), net+".")
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		ts.Check(os.WriteFile(ts.MkAbs(name+".toml"), []byte(moved), 0o644))
		if name == "classes" {
			continue
		}
		count++
		ip := regexp.MustCompile(regexp.QuoteMeta(net) + `\.\d+`).FindString(moved[strings.Index(moved, "[caller]"):])
		service := name[:strings.LastIndex(name, "-")]
		start(ts, false, []string{name, "skylarkrelay", "run", name + ".toml"})
		start(ts, false, []string{
			name + "-server", "standin", "backend", "--listen", ip + ":7410", "--daemon", ip + ":7404",
			"--name", name, "--service", service,
		})
	}
	ts.Check(ts.Exec("standin", "await", "--daemon", ts.Getenv("SKYLARKRELAY_DAEMON"),
		"--active", strconv.Itoa(count), "--balanced", "--timeout", "60s"))
}

// on-net FILES... puts the session's network into files that say NET.
func onNet(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := strings.ReplaceAll(ts.ReadFile(file), "NET.", ts.Getenv("NET")+".")
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o644))
	}
}

// plain FILE takes out of a file what differs from run to run: incarnations, times, addresses, generations.
func plain(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	for _, r := range []struct{ pattern, with string }{
		{`#\d{10,}`, "#N"},
		{`\d\d:\d\d:\d\d\.\d+`, "TIME"},
		{`\d{4}-\d\d-\d\dT[0-9:]+Z`, "TIME"},
		{`127\.\d+\.0\.`, "NET."},
		{`generation +\d+`, "generation N"},
		{`lease +\d+ ms`, "lease N ms"},
		{`witnesses +\[.*\]`, "witnesses [...]"},
		{`(active +)\d+`, "${1}N"},
		{`[ \t]+`, " "},
		{` \n`, "\n"},
	} {
		text = regexp.MustCompile(r.pattern).ReplaceAllString(text, r.with)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// replace NAMES... stops daemons gracefully and starts them again, one after the other.
func replace(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		signal(ts, false, []string{name, "TERM"})
		ends(ts, false, []string{name, "0"})
		start(ts, false, []string{name, "skylarkrelay", "run", name + ".toml"})
		ts.Check(ts.Exec("standin", "await", "--daemon", ts.Getenv("NET")+".9:7405", "--active", "11", "--balanced"))
	}
}

// tighten FILE LATENCY sets the latency of the first class.
func tighten(ts *testscript.TestScript, _ bool, args []string) {
	latency := regexp.MustCompile(`latency = "[^"]*"`)
	text := ts.ReadFile(args[0])
	first := latency.FindString(text)
	text = strings.Replace(text, first, `latency = "`+args[1]+`"`, 1)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// owner-is FILE VARIABLE takes the server's name out of an answer. VARIABLE_IP is the address of a lot register.
func ownerIs(ts *testscript.TestScript, _ bool, args []string) {
	found := regexp.MustCompile(`"server":"([^"]*)"`).FindStringSubmatch(ts.ReadFile(args[0]))
	if found == nil {
		ts.Fatalf("no server in %s", ts.ReadFile(args[0]))
	}
	ts.Setenv(args[1], found[1])
	number := found[1][strings.LastIndex(found[1], "-")+1:]
	ts.Setenv(args[1]+"_IP", ts.Getenv("NET")+"."+number)
}

// abandon-all DAEMON gives the operator's word for each member of its status whose process was killed.
func abandonAll(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Exec("skylarkrelay", "status", "--daemon", args[0]))
	for _, member := range regexp.MustCompile(`(?m)^(\S+)#\d+`).FindAllStringSubmatch(ts.ReadFile("stdout"), -1) {
		c := processesOf(ts)[member[1]]
		if c == nil {
			continue
		}
		if c.ProcessState == nil && c.Process.Signal(syscall.Signal(0)) == nil && !isZombie(c.Process.Pid) {
			continue
		}
		ts.Check(ts.Exec("skylarkrelay", "abandon", "--daemon", args[0], member[0]))
	}
}

// isZombie tells whether a process has ended without being waited for.
func isZombie(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(after, "Z")
}

// key-of SERVER ENTRY VARIABLE finds a lot that a server owns.
func keyOf(ts *testscript.TestScript, _ bool, args []string) {
	for n := range 1000 {
		key := fmt.Sprintf("L-%d", n)
		ts.Check(ts.Exec("standin", "call", "http://"+args[1]+"/lots/"+key))
		if strings.Contains(ts.ReadFile("stdout"), `"server":"`+args[0]+`"`) {
			ts.Setenv(args[2], key)
			return
		}
	}
	ts.Fatalf("%s owns none of the lots", args[0])
}
