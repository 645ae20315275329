package scale

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Columns returns the names of the columns of a table of rows.
func Columns() []string {
	var names []string
	shape := reflect.TypeFor[Row]()
	for i := range shape.NumField() {
		names = append(names, shape.Field(i).Name)
	}
	return names
}

func cells(row Row) []string {
	var values []string
	fields := reflect.ValueOf(row)
	for i := range fields.NumField() {
		values = append(values, fmt.Sprintf("%v", fields.Field(i).Interface()))
	}
	return values
}

const fileMode = 0o640

// AppendCSV adds a row to a file, with the names of the columns if it is new.
func AppendCSV(path string, row Row) error {
	const step = "scale.write_csv"
	_, err := os.Stat(path)
	fresh := errors.Is(err, os.ErrNotExist)
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return steperror.Wrap(step, path, err)
	}
	writer := csv.NewWriter(file)
	if fresh {
		_ = writer.Write(Columns())
	}
	_ = writer.Write(cells(row))
	writer.Flush()
	return steperror.Wrap(step, path, errors.Join(writer.Error(), file.Close()))
}

// Table is a measured table: one line a run.
type Table struct {
	Columns []string
	Values  [][]float64
}

// ReadCSV reads what AppendCSV wrote.
func ReadCSV(path string) (*Table, error) {
	const step = "scale.read_csv"
	file, err := os.Open(path)
	if err != nil {
		return nil, steperror.Wrap(step, path, err)
	}
	defer func() { _ = file.Close() }()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, steperror.Wrap(step, path, err)
	}
	if len(lines) == 0 {
		return nil, steperror.New(step, path, "the file has no lines")
	}
	table := &Table{Columns: lines[0]}
	for number, line := range lines[1:] {
		values := make([]float64, len(line))
		for i, cell := range line {
			if values[i], err = strconv.ParseFloat(cell, 64); err != nil {
				reason := fmt.Sprintf("line %d, column %s: %q is not a number", number+2, table.Columns[i], cell)
				return nil, steperror.New(step, path, reason)
			}
		}
		table.Values = append(table.Values, values)
	}
	return table, nil
}

func (t *Table) column(name string) ([]float64, error) {
	for i, column := range t.Columns {
		if column != name {
			continue
		}
		var values []float64
		for _, line := range t.Values {
			values = append(values, line[i])
		}
		return values, nil
	}
	return nil, steperror.New("scale.column", "", fmt.Sprintf("no column %q", name))
}

// fewestPoints is the number of sizes that a slope is worked out from.
const fewestPoints = 3

// Fit is a straight line through the measurements of a column.
type Fit struct {
	Column    string
	Intercept float64
	Slope     float64
	// RSquared is the share of the variance that the line explains.
	RSquared float64
	// At is the value of the line at the target size.
	At float64
	// Stretch is the target size over the largest size that was measured.
	Stretch float64
}

// FitColumn fits one column over another and stretches it to a target size.
func (t *Table) FitColumn(over, column string, target float64) (Fit, error) {
	sizes, err := t.column(over)
	if err != nil {
		return Fit{}, err
	}
	values, err := t.column(column)
	if err != nil {
		return Fit{}, err
	}
	if len(sizes) < fewestPoints {
		return Fit{}, steperror.New("scale.fit", "", fmt.Sprintf("%d sizes were measured, a slope needs %d", len(sizes), fewestPoints))
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	largest := sizes[0]
	for _, size := range sizes {
		largest = max(largest, size)
	}
	return Fit{
		Column:    column,
		Intercept: intercept,
		Slope:     slope,
		RSquared:  stat.RSquared(sizes, values, nil, intercept, slope),
		At:        intercept + slope*target,
		Stretch:   target / largest,
	}, nil
}

// WriteFits prints the fits of all columns that vary.
func (t *Table) WriteFits(out io.Writer, over string, target float64) error {
	fmt.Fprintf(out, "%-20s %14s %14s %8s %14s %8s\n", "COLUMN", "INTERCEPT", "SLOPE", "R2", "AT TARGET", "STRETCH")
	for _, column := range t.Columns {
		if column == over {
			continue
		}
		fit, err := t.FitColumn(over, column, target)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-20s %14.6g %14.6g %8.3f %14.6g %8.2f\n", fit.Column, fit.Intercept, fit.Slope, fit.RSquared, fit.At, fit.Stretch)
	}
	return nil
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws columns over another into an SVG file.
func (t *Table) Plot(path, title, over string, columns ...string) error {
	const step = "scale.plot"
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text = over
	drawing.Y.Min = 0
	sizes, err := t.column(over)
	if err != nil {
		return err
	}
	var lines []any
	for _, column := range columns {
		values, err := t.column(column)
		if err != nil {
			return err
		}
		points := make(plotter.XYs, len(sizes))
		for i := range sizes {
			points[i] = plotter.XY{X: sizes[i], Y: values[i]}
		}
		lines = append(lines, column, points)
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return steperror.Wrap(step, path, err)
	}
	return steperror.Wrap(step, path, drawing.Save(plotWidth, plotHeight, path))
}
