// Command rig2 runs the cases of an independent review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for clients, servers, the operator
// and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenario is one case. It returns its exit code.
type scenario func(r *record, trouble bool) (int, error)

var scenarios = map[string]scenario{
	"deregister": deregister,
	"versions":   versions,
	"bodies":     bodies,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return cannotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer r.close()
	code, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.verdict("the case could not run: %v", err)
		return cannotRun
	}
	return code
}
