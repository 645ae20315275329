package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/explain"
)

// Formats of the output.
const (
	formatText = "text"
	formatJSON = "json"
)

func explainCommand() *cobra.Command {
	var question explain.Query
	var format string
	command := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Print the timeline of a flow, a target or a configuration from the logs of several processes",
		Long:  "Reads the logs from files, or from standard input when none is named.",
		Example: `  beamdoor-node explain --flow 100.64.0.7:40001 front-*.log core-*.log
  beamdoor-node explain --version 23 -o json < all.log`,
		RunE: func(cmd *cobra.Command, files []string) error {
			if format != formatText && format != formatJSON {
				return fmt.Errorf("--output: %q: must be %s or %s", format, formatText, formatJSON)
			}
			lines, err := readLogs(cmd.InOrStdin(), files, question)
			if err != nil {
				return err
			}
			timeline := explain.Timeline(lines, question)
			if format == formatJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(timeline)
			}
			return explain.Print(cmd.OutOrStdout(), timeline)
		},
	}
	flags := command.Flags()
	flags.StringVar(&question.Caller, "flow", "", "the flow's caller as IP:PORT")
	flags.StringVar(&question.Target, "target", "", "the name of a target")
	flags.StringVar(&question.Version, "version", "", "the version of a configuration")
	flags.StringVarP(&format, "output", "o", formatText, "output format: text or json")
	command.MarkFlagsOneRequired("flow", "target", "version")
	command.MarkFlagsMutuallyExclusive("flow", "target", "version")
	return command
}

func readLogs(standardInput io.Reader, files []string, question explain.Query) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(standardInput, question)
	}
	var lines []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		part, err := explain.Read(file, question)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, part...)
	}
	return lines, nil
}
