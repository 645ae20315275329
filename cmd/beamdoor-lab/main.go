// Command beamdoor-lab runs simulations of the systems around beamdoor, and the
// experiments.
package main

import (
	"fmt"
	"os"

	"github.com/beamdoor/beamdoor/internal/lab/labcli"
	"github.com/beamdoor/beamdoor/standin"
)

func main() {
	root := labcli.NewRoot()
	root.AddCommand(standin.NewSoakCommand(), standin.NewDrawnCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "beamdoor-lab:", err)
		os.Exit(1)
	}
}
