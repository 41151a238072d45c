// Command play plays the cases of the review: a deployment of nodes as processes of their own, with stand-ins for the
// platform, workers and clients in this process. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// scenario plays a case and reports whether its rule was broken.
type scenario func(r *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"extra":   playExtra,
	"path":    playPath,
	"stop":    playStop,
	"upgrade": playUpgrade,
}

func main() {
	runtime.LockOSThread() // the processes end with the thread that has started them
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		os.Exit(2)
	case broken:
		r.say("the rule was broken")
		os.Exit(1)
	}
	r.say("the rule held")
}
