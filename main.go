// Command hyssopladder serves model and plain services on reclaimable
// instances.
package main

import (
	"os"

	"github.com/hyssopladder/hyssopladder/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
