package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Values of --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// table is the text output of a command, with aligned columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, fmt.Sprint(cell))
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(writer io.Writer) error {
	aligned := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(aligned, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	return aligned.Flush()
}

// show writes a message as JSON or YAML, or calls asTable for the table format.
func show(writer io.Writer, format string, message proto.Message, asTable func() *table) error {
	if format == formatTable {
		return asTable().write(writer)
	}
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	if format == formatJSON {
		_, err = fmt.Fprintln(writer, string(data))
		return err
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	return yaml.NewEncoder(writer).Encode(value)
}
