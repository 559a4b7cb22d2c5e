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

const encodingHint = "export the sheet as CSV UTF-8"

// Parse reads a sheet in UTF-8, with or without a byte order mark, with LF or CRLF
// line ends, and with commas or semicolons as separators. It returns every problem.
// A sheet with a problem must not be used.
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
	return p.sheet, p.problems.sortedAndLimited()
}

// parser holds the state of one Parse call.
type parser struct {
	sheet     Sheet
	problems  Problems
	header    []Column // in the order of the cells; nil before the header is read
	separator rune
	// cellLineBreaks counts the line breaks within the cells read so far. Subtracting
	// it from a line number of the file gives the row number.
	cellLineBreaks int
	rowCount       int            // rows below the header that are not blank
	rowOf          map[string]int // number of the first row with an entry, by kind and name
}

// parse reads the rows of the sheet and checks the documents that they form.
func (p *parser) parse(data []byte) {
	data, ok := p.decode(data)
	if !ok {
		return
	}
	p.rowOf = map[string]int{}
	p.separator = separatorOf(data)
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = p.separator
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	if !p.readRecords(r) {
		return
	}
	if p.rowCount == 0 && len(p.problems) == 0 {
		p.problems.add(0, "", "an empty sheet removes nothing", "has no rows below the header")
	}
	p.checkDocuments()
}

// decode removes the byte order mark. It reports false and adds a problem if the
// data is empty or is not UTF-8 text.
func (p *parser) decode(data []byte) ([]byte, bool) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	switch {
	case len(bytes.TrimSpace(data)) == 0:
		p.problems.add(0, "", "an empty sheet removes nothing", "is empty")
		return nil, false
	case bytes.HasPrefix(data, []byte("\xff\xfe")), bytes.HasPrefix(data, []byte("\xfe\xff")), bytes.IndexByte(data, 0) >= 0:
		p.problems.add(0, "", encodingHint, "is encoded as UTF-16, or is no text")
		return nil, false
	case bytes.HasPrefix(data, []byte("PK\x03\x04")):
		p.problems.add(0, "", encodingHint, "is a workbook")
		return nil, false
	}
	if !utf8.Valid(data) {
		p.problems.add(lineOfInvalid(data), "", encodingHint, "has text that is not UTF-8")
		return nil, false
	}
	return data, true
}

// lineOfInvalid returns the number of the first line that is not valid UTF-8.
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

// separatorOf returns the separator that occurs more often in the first line, which
// is a comma in case of a tie.
func separatorOf(data []byte) rune {
	line, _, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\n"))
	if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
		return ';'
	}
	return ','
}

// readRecords reads all rows. It returns false without reading the remaining rows if
// the header has a problem or the sheet has too many rows.
func (p *parser) readRecords(r *csv.Reader) bool {
	for {
		record, err := r.Read()
		if err == io.EOF {
			return true
		}
		if err != nil {
			p.addSyntaxProblem(err)
			continue
		}
		line, _ := r.FieldPos(0)
		rowNumber := line - p.cellLineBreaks
		for i, cell := range record {
			p.cellLineBreaks += strings.Count(cell, "\n")
			record[i] = cleanCell(cell)
		}
		if p.header == nil {
			if !p.readHeader(rowNumber, record) {
				return false
			}
			continue
		}
		if isBlank(record) {
			continue
		}
		p.rowCount++
		if p.rowCount > MaxRows {
			p.problems.add(rowNumber, "", "split the sheet by tenant", "the sheet has more than %d rows", MaxRows)
			return false
		}
		p.readRow(rowNumber, record)
	}
}

// addSyntaxProblem adds a problem for an error of the CSV reader.
func (p *parser) addSyntaxProblem(err error) {
	var e *csv.ParseError
	if !errors.As(err, &e) {
		p.problems.add(0, "", "", "cannot be read: %v", err)
		return
	}
	hint := "double each quotation mark within a cell"
	if errors.Is(e.Err, csv.ErrQuote) {
		hint = "a quotation mark is not closed; is the file whole?"
	}
	p.problems.add(e.StartLine-p.cellLineBreaks, "", hint, "%v", e.Err)
}

// cleanCell trims spaces and normalizes the text to NFC, so that names typed on
// different keyboards compare equal.
func cleanCell(cell string) string {
	return norm.NFC.String(strings.TrimSpace(cell))
}

// isBlank reports whether all cells of the row are empty.
func isBlank(record []string) bool {
	return !slices.ContainsFunc(record, func(cell string) bool { return cell != "" })
}

// readHeader reads the names of the columns. It reports whether the header has no
// problem.
func (p *parser) readHeader(rowNumber int, record []string) bool {
	before := len(p.problems)
	for _, cell := range record {
		col := Column(strings.ToLower(cell))
		switch {
		case col == "":
		case !slices.Contains(columns, col):
			p.problems.add(rowNumber, col, "the columns are "+columnList(), "is not a known column")
		case slices.Contains(p.header, col):
			p.problems.add(rowNumber, col, "", "appears twice in the header")
		}
		p.header = append(p.header, col)
	}
	for _, col := range requiredColumns {
		if !slices.Contains(p.header, col) {
			p.problems.add(rowNumber, col, "the first row must name the columns", "is missing in the header")
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

// readRow reads one row below the header.
func (p *parser) readRow(rowNumber int, record []string) {
	if len(record) != len(p.header) {
		p.problems.add(rowNumber, "", "is the file whole?", "has %d cells, the header has %d", len(record), len(p.header))
		return
	}
	cells := map[Column]string{}
	for i, cell := range record {
		if len(cell) > maxCellBytes {
			p.problems.add(rowNumber, p.header[i], "", "is longer than %d bytes", maxCellBytes)
			return
		}
		if p.header[i] == "" && cell != "" {
			p.problems.add(rowNumber, "", "give the column a name or clear it", "cell %d has no column name", i+1)
		}
		cells[p.header[i]] = cell
	}
	row := &rowReader{rowNumber: rowNumber, cells: cells, decimalComma: p.separator == ';', problems: &p.problems}
	p.readEntry(row)
}

// readEntry converts a row to an entry of the kind that its kind column names.
func (p *parser) readEntry(row *rowReader) {
	switch kind := strings.ToLower(row.cells[ColKind]); config.EntryKind(kind) {
	case config.KindService:
		p.sheet.Services = appendUnique(p, row, p.sheet.Services, row.service(), row.cells[ColName])
	case config.KindPool:
		p.sheet.Pools = appendUnique(p, row, p.sheet.Pools, row.pool(), row.cells[ColName])
	case config.KindShare:
		p.sheet.Shares = appendUnique(p, row, p.sheet.Shares, row.share(), row.cells[ColRegion]+"/"+row.cells[ColTenant])
	case config.KindKey:
		p.sheet.Keys = appendUnique(p, row, p.sheet.Keys, row.key(), row.cells[ColName])
	default:
		if kind == string(ColKind) {
			p.problems.add(row.rowNumber, "", "two sheets in one file? keep one", "is a second header")
			return
		}
		p.problems.add(row.rowNumber, ColKind, "", "must be service, pool, share or key, not %q", row.cells[ColKind])
	}
}

// appendUnique appends an entry to its list. If an earlier row contains an entry of
// the same kind and name, it adds a problem and returns the list unchanged.
func appendUnique[T any](p *parser, row *rowReader, list []Row[T], value T, name string) []Row[T] {
	id := strings.ToLower(row.cells[ColKind]) + " " + name
	if first, ok := p.rowOf[id]; ok {
		p.problems.add(row.rowNumber, "", "keep one of the two", "%s is also in row %d", id, first)
		return list
	}
	p.rowOf[id] = row.rowNumber
	return append(list, Row[T]{Number: row.rowNumber, Value: value})
}

// checkDocuments checks the document of each scope. It does not add a problem for a
// cell that already has one.
func (p *parser) checkDocuments() {
	type cell struct {
		row int
		col Column
	}
	reported := map[cell]bool{}
	for _, problem := range p.problems {
		reported[cell{problem.Row, problem.Column}] = true
	}
	for _, part := range p.sheet.scopeParts() {
		if part.Scope == "" {
			continue
		}
		for _, f := range config.CheckDocument(part.Scope, part.Document) {
			problem := problemAtRow(part, f)
			if !reported[cell{problem.Row, problem.Column}] {
				p.problems = append(p.problems, problem)
			}
		}
	}
}

// problemAtRow converts a problem of a document to a problem of the sheet.
func problemAtRow(part *scopePart, f config.Problem) Problem {
	return Problem{
		Row:    part.rowNumberOf(f.Kind, f.Index),
		Column: Column(f.Field),
		Text:   f.Text,
		Hint:   string(f.Kind) + " " + f.Name,
	}
}
