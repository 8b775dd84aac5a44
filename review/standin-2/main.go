// Command standin-2 plays the scripted cases of the second review: a small deployment on loopback addresses, with the
// project's daemons as processes and stand-ins for the platform's store, the backends and the clients.
package main

import (
	"fmt"
	"os"
)

// A case returns whether the rule was broken.
var cases = map[string]func(w *world, isTroubled bool) (bool, error){
	"poison":   poison,
	"redeal":   redeal,
	"departed": departed,
}

func main() {
	play := cases[os.Args[1]]
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println("cannot start:", err)
		os.Exit(2)
	}
	isTroubled := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %v", os.Args[1], isTroubled)
	isBroken, err := play(w, isTroubled)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
	case isBroken:
		w.note("the rule was broken")
	default:
		w.note("the rule held")
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(w.dir))
	}
	w.close()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case isBroken:
		os.Exit(1)
	}
}
