// Command beamdoor-lab runs the stand-ins for the systems around beamdoor, and
// the experiments.
package main

import (
	"fmt"
	"os"

	"github.com/beamdoor/beamdoor/internal/lab/labcli"
)

func main() {
	err := labcli.NewRoot().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "beamdoor-lab:", err)
		os.Exit(1)
	}
}
