package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// grid is a table for people.
type grid struct {
	header []string
	rows   [][]string
}

func (g *grid) add(cells ...string) { g.rows = append(g.rows, cells) }

// print writes v as JSON, or the text that human makes.
func (a *app) print(v any, human func(w io.Writer)) error {
	if a.format == formatTable {
		human(a.env.Stdout)
		return nil
	}
	enc := json.NewEncoder(a.env.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("output: %w", err)
	}
	return nil
}

// printGrid writes v as JSON or the grid as a table.
func (a *app) printGrid(v any, g grid) error {
	return a.print(v, g.write)
}

func (g grid) write(w io.Writer) {
	t := table.NewWriter()
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	t.SetStyle(style)
	t.AppendHeader(row(g.header))
	for _, cells := range g.rows {
		t.AppendRow(row(cells))
	}
	for _, line := range strings.Split(t.Render(), "\n") {
		fmt.Fprintln(w, strings.TrimRight(line, " "))
	}
}

func row(cells []string) table.Row {
	r := make(table.Row, len(cells))
	for i, cell := range cells {
		r[i] = cell
	}
	return r
}

// formatMillis formats Unix milliseconds in UTC.
func formatMillis(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z")
}
