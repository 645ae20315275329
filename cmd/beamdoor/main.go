// Command beamdoor runs the product's processes and the operator's commands.
package main

import (
	"fmt"
	"os"

	"github.com/beamdoor/beamdoor/internal/cli"
)

func main() {
	err := cli.NewRoot().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "beamdoor:", err)
	}
	os.Exit(cli.ExitCode(err))
}
