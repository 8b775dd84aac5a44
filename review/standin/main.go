// Command standin plays one case of the review: it starts daemons as processes, and stands in for the platform, the
// backends and the clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble is how much of its disruption a case plays.
type trouble int

const (
	// fullTrouble plays all of it, and noTrouble none. The others play a part, to tell which part matters.
	fullTrouble trouble = iota
	noTrouble
	// leavesListening: the backend that leaves listens until it exits.
	leavesListening
	// killsOnly: processes of the system are killed, no backends.
	killsOnly
	// crashesOnly: backends are lost, no processes of the system.
	crashesOnly
)

func parseTrouble(text string) trouble {
	names := map[string]trouble{
		"0": noTrouble, "listening": leavesListening, "kills": killsOnly, "crashes": crashesOnly,
	}
	return names[text]
}

// scenario is one case: the interval of heartbeats, and what happens.
type scenario struct {
	beat time.Duration
	play func(w *world, trouble trouble) error
}

var scenarios = map[string]scenario{
	"owner":      {beat: 1500 * time.Millisecond, play: playOwner},
	"orphans":    {beat: 1500 * time.Millisecond, play: playOrphans},
	"drain":      {beat: 1500 * time.Millisecond, play: playDrain},
	"quarantine": {beat: 1500 * time.Millisecond, play: playQuarantine},
	"lost":       {beat: 1500 * time.Millisecond, play: playLost},
	"path":       {beat: 1500 * time.Millisecond, play: playPath},
}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	s, ok := scenarios[os.Args[1]]
	if !ok || os.Getenv("DAEMON") == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or DAEMON not set")
		return 2
	}
	w, err := newWorld(s.beat, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	if err := s.play(w, parseTrouble(os.Getenv("TROUBLE"))); err != nil {
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		fmt.Println("broken:", w.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
