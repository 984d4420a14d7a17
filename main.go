// Masticbay dispatches jobs of many sub-second tasks to targets and starts
// each task at most once. Run "masticbay help" for its commands.
package main

import (
	"os"

	"masticbay/command"
)

func main() {
	os.Exit(command.Run(os.Args))
}
