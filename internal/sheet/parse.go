package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"golang.org/x/text/unicode/norm"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

const hintEncoding = "export the sheet as CSV UTF-8"

// Parse reads a sheet: UTF-8 with or without byte order mark, any line ends,
// separated by commas or semicolons. It lists every problem; with a problem the
// sheet must not be used.
func Parse(r io.Reader) (Sheet, Problems) {
	var p parser
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	switch {
	case err != nil:
		p.problems.add(0, "", "", "cannot be read: %v", err)
	case len(data) > MaxBytes:
		p.problems.add(0, "", "split the sheet by tenant", "is larger than %d MiB", MaxBytes>>20)
	default:
		p.parse(data)
	}
	return p.sheet, p.problems.ordered()
}

// parser reads one sheet.
type parser struct {
	sheet     Sheet
	problems  Problems
	header    []Column // by position
	separator rune
	extra     int // line breaks within cells so far
	rows      int
	seen      map[string]int // row of each thing
}

func (p *parser) parse(data []byte) {
	data, ok := p.decode(data)
	if !ok {
		return
	}
	p.seen = map[string]int{}
	p.separator = separatorOf(data)
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = p.separator
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	if !p.records(r) {
		return
	}
	if p.rows == 0 && len(p.problems) == 0 {
		p.problems.add(0, "", "an empty sheet removes nothing", "has no rows below the header")
	}
	p.checkDocuments()
}

// decode strips the byte order mark and refuses other encodings.
func (p *parser) decode(data []byte) ([]byte, bool) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	switch {
	case len(bytes.TrimSpace(data)) == 0:
		p.problems.add(0, "", "an empty sheet removes nothing", "is empty")
		return nil, false
	case bytes.HasPrefix(data, []byte("\xff\xfe")), bytes.HasPrefix(data, []byte("\xfe\xff")), bytes.IndexByte(data, 0) >= 0:
		p.problems.add(0, "", hintEncoding, "is encoded as UTF-16, or is no text")
		return nil, false
	case bytes.HasPrefix(data, []byte("PK\x03\x04")):
		p.problems.add(0, "", hintEncoding, "is a workbook")
		return nil, false
	}
	if !utf8.Valid(data) {
		p.problems.add(lineOfInvalid(data), "", hintEncoding, "has text that is not UTF-8")
		return nil, false
	}
	return data, true
}

func lineOfInvalid(data []byte) int {
	line := 1
	for len(data) > 0 {
		r, size := utf8.DecodeRune(data)
		if r == utf8.RuneError && size == 1 {
			return line
		}
		if r == '\n' {
			line++
		}
		data = data[size:]
	}
	return line
}

// separatorOf returns the separator that is more frequent in the first line.
func separatorOf(data []byte) rune {
	line, _, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\n"))
	if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
		return ';'
	}
	return ','
}

// records reads all rows. It returns false if the header or the size make the
// rest meaningless.
func (p *parser) records(r *csv.Reader) bool {
	for {
		record, err := r.Read()
		if err == io.EOF {
			return true
		}
		if err != nil {
			p.syntaxProblem(err)
			continue
		}
		line, _ := r.FieldPos(0)
		number := line - p.extra
		for i, cell := range record {
			p.extra += strings.Count(cell, "\n")
			record[i] = cleanCell(cell)
		}
		if p.header == nil {
			if !p.readHeader(number, record) {
				return false
			}
			continue
		}
		if isBlank(record) {
			continue
		}
		p.rows++
		if p.rows > MaxRows {
			p.problems.add(number, "", "split the sheet by tenant", "the sheet has more than %d rows", MaxRows)
			return false
		}
		p.readRow(number, record)
	}
}

func (p *parser) syntaxProblem(err error) {
	var e *csv.ParseError
	if !errors.As(err, &e) {
		p.problems.add(0, "", "", "cannot be read: %v", err)
		return
	}
	hint := "double each quotation mark within a cell"
	if errors.Is(e.Err, csv.ErrQuote) {
		hint = "a quotation mark is not closed; is the file whole?"
	}
	p.problems.add(e.StartLine-p.extra, "", hint, "%v", e.Err)
}

// cleanCell trims spaces and composes characters, so that names typed on
// different keyboards compare equal.
func cleanCell(cell string) string {
	return norm.NFC.String(strings.TrimSpace(cell))
}

func isBlank(record []string) bool {
	return !slices.ContainsFunc(record, func(cell string) bool { return cell != "" })
}

func (p *parser) readHeader(number int, record []string) bool {
	before := len(p.problems)
	for _, cell := range record {
		col := Column(strings.ToLower(cell))
		switch {
		case col == "":
		case !slices.Contains(columns, col):
			p.problems.add(number, col, "the columns are "+columnList(), "is not a known column")
		case slices.Contains(p.header, col):
			p.problems.add(number, col, "", "appears twice in the header")
		}
		p.header = append(p.header, col)
	}
	for _, col := range requiredColumns {
		if !slices.Contains(p.header, col) {
			p.problems.add(number, col, "the first row must name the columns", "is missing in the header")
		}
	}
	return len(p.problems) == before
}

func columnList() string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

func (p *parser) readRow(number int, record []string) {
	if len(record) != len(p.header) {
		p.problems.add(number, "", "is the file whole?", "has %d cells, the header has %d", len(record), len(p.header))
		return
	}
	cells := map[Column]string{}
	for i, cell := range record {
		if len(cell) > maxCell {
			p.problems.add(number, p.header[i], "", "is longer than %d bytes", maxCell)
			return
		}
		if p.header[i] == "" && cell != "" {
			p.problems.add(number, "", "give the column a name or clear it", "cell %d has no column name", i+1)
		}
		cells[p.header[i]] = cell
	}
	row := &rowReader{number: number, cells: cells, decimalComma: p.separator == ';', problems: &p.problems}
	p.readThing(row)
}

func (p *parser) readThing(row *rowReader) {
	switch kind := strings.ToLower(row.cells[ColKind]); config.EntryKind(kind) {
	case config.KindService:
		p.sheet.Services = keep(p, row, p.sheet.Services, row.service(), row.cells[ColName])
	case config.KindPool:
		p.sheet.Pools = keep(p, row, p.sheet.Pools, row.pool(), row.cells[ColName])
	case config.KindShare:
		p.sheet.Shares = keep(p, row, p.sheet.Shares, row.share(), row.cells[ColRegion]+"/"+row.cells[ColTenant])
	case config.KindKey:
		p.sheet.Keys = keep(p, row, p.sheet.Keys, row.key(), row.cells[ColName])
	default:
		if kind == string(ColKind) {
			p.problems.add(row.number, "", "two sheets in one file? keep one", "is a second header")
			return
		}
		p.problems.add(row.number, ColKind, "", "must be service, pool, share or key, not %q", row.cells[ColKind])
	}
}

// keep adds a thing to its list unless a row before has the same one.
func keep[T any](p *parser, row *rowReader, list []Row[T], value T, name string) []Row[T] {
	id := strings.ToLower(row.cells[ColKind]) + " " + name
	if first, ok := p.seen[id]; ok {
		p.problems.add(row.number, "", "keep one of the two", "%s is also in row %d", id, first)
		return list
	}
	p.seen[id] = row.number
	return append(list, Row[T]{Number: row.number, Value: value})
}

// checkDocuments checks what the rows of each scope make together. A cell that
// could not be read is not reported again.
func (p *parser) checkDocuments() {
	type cell struct {
		row int
		col Column
	}
	known := map[cell]bool{}
	for _, problem := range p.problems {
		known[cell{problem.Row, problem.Column}] = true
	}
	for _, part := range p.sheet.parts() {
		if part.Scope == "" {
			continue
		}
		for _, f := range config.CheckDocument(part.Scope, part.Document) {
			problem := problemOf(part, f)
			if !known[cell{problem.Row, problem.Column}] {
				p.problems = append(p.problems, problem)
			}
		}
	}
}

func problemOf(part *scopePart, f config.Problem) Problem {
	return Problem{
		Row:    part.row(f.Kind, f.Index),
		Column: Column(f.Field),
		Text:   f.Text,
		Hint:   string(f.Kind) + " " + f.Name,
	}
}
