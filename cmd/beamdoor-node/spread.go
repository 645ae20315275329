package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/explain"
)

func spreadCommand() *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:     "spread [FILE...]",
		Short:   "Tell from the logs of members and nodes how long changes took to reach all nodes",
		Long:    "Reads the logs from files, or from standard input when none is named.",
		Example: `  beamdoor-node spread front-*.log core-*.log`,
		RunE: func(cmd *cobra.Command, files []string) error {
			if format != formatText && format != formatJSON {
				return fmt.Errorf("--output: %q: must be %s or %s", format, formatText, formatJSON)
			}
			lines, err := readLogs(cmd.InOrStdin(), files, explain.Query{})
			if err != nil {
				return err
			}
			spreads := explain.Propagations(lines)
			if format == formatJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(spreads)
			}
			return explain.PrintPropagations(cmd.OutOrStdout(), spreads)
		},
	}
	command.Flags().StringVarP(&format, "output", "o", formatText, "output format: text or json")
	return command
}
