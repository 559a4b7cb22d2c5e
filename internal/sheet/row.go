package sheet

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// rowReader converts the cells of one row to an entry and adds the problems of the
// cells to problems.
type rowReader struct {
	rowNumber    int
	cells        map[Column]string
	decimalComma bool // semicolons separate the cells, so a comma may be a decimal mark
	problems     *Problems
}

func (r *rowReader) addProblem(col Column, hint, format string, args ...any) {
	r.problems.add(r.rowNumber, col, hint, format, args...)
}

// rejectOtherColumns adds a problem for each cell that is not empty and whose column
// does not apply to an entry of this kind.
func (r *rowReader) rejectOtherColumns(kind config.EntryKind, allowed ...Column) {
	used := map[Column]bool{ColKind: true, ColTenant: true, ColNote: true, "": true}
	for _, col := range allowed {
		used[col] = true
	}
	for _, col := range columns {
		if !used[col] && r.cells[col] != "" {
			r.addProblem(col, "clear the cell", "does not belong to a %s", kind)
		}
	}
}

// requiredText returns the text of a cell that must not be empty.
func (r *rowReader) requiredText(col Column) string {
	value := r.cells[col]
	if value == "" {
		r.addProblem(col, "", "is empty")
	}
	return value
}

func (r *rowReader) tenant() ident.Tenant { return ident.Tenant(r.requiredText(ColTenant)) }

func (r *rowReader) service() config.Service {
	r.rejectOtherColumns(config.KindService, ColName, ColMode, ColPool, ColSlices, ColKeyFrom, ColDeadline, ColMaxBody, ColRepeatable)
	s := config.Service{
		Name:       ident.Service(r.requiredText(ColName)),
		Tenant:     r.tenant(),
		Mode:       config.Mode(strings.ToLower(r.requiredText(ColMode))),
		Pool:       ident.Pool(r.requiredText(ColPool)),
		KeyFrom:    config.KeySource(strings.ToLower(r.cells[ColKeyFrom])),
		Deadline:   time.Duration(r.positiveInteger(ColDeadline)) * time.Millisecond,
		MaxBody:    r.kilobytes(ColMaxBody),
		Repeatable: r.boolean(ColRepeatable),
	}
	if r.cells[ColSlices] != "" || s.Mode == config.Keyed {
		s.Slices = uint32(r.positiveInteger(ColSlices))
	}
	return s
}

func (r *rowReader) pool() config.Pool {
	r.rejectOtherColumns(config.KindPool, ColName)
	return config.Pool{Name: ident.Pool(r.requiredText(ColName)), Tenant: r.tenant()}
}

func (r *rowReader) share() config.Share {
	r.rejectOtherColumns(config.KindShare, ColRegion, ColPercent)
	return config.Share{
		Region:  ident.Region(r.requiredText(ColRegion)),
		Tenant:  r.tenant(),
		Percent: r.decimal(ColPercent, strings.TrimSuffix(r.requiredText(ColPercent), "%")),
	}
}

func (r *rowReader) key() config.Key {
	r.rejectOtherColumns(config.KindKey, ColName, ColMode, ColPublicKey)
	k := config.Key{Name: r.requiredText(ColName), Tenant: r.tenant()}
	raw, err := base64.StdEncoding.DecodeString(r.requiredText(ColPublicKey))
	if err != nil {
		r.addProblem(ColPublicKey, "copy it from burdockctl keygen", "is not base64")
	}
	k.PublicKey = raw
	switch mode := strings.ToLower(r.cells[ColMode]); mode {
	case "", keyActive:
	case keyRevoked:
		k.Revoked = true
	default:
		r.addProblem(ColMode, "", "must be active or revoked for a key, not %q", mode)
	}
	return k
}

// positiveInteger reads a whole number from 1 to the maximum of 32 bits.
func (r *rowReader) positiveInteger(col Column) uint64 {
	value := r.requiredText(col)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 {
		r.addProblem(col, "digits only, without separators", "must be a whole number greater than zero, not %q", value)
		return 0
	}
	return n
}

// decimal reads a decimal number. Its decimal mark may be a comma if semicolons
// separate the cells.
func (r *rowReader) decimal(col Column, value string) float64 {
	if value == "" {
		return 0
	}
	if r.decimalComma {
		value = strings.Replace(value, ",", ".", 1)
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.addProblem(col, "digits without separators", "must be a number, not %q", value)
		return 0
	}
	return f
}

// kilobytes reads a size in kilobytes and returns it in bytes.
func (r *rowReader) kilobytes(col Column) int64 {
	kb := r.decimal(col, r.requiredText(col))
	if kb < 0 || kb > config.MaxBodyLimit/bytesPerKB {
		r.addProblem(col, "", "must be from 1 to %d", config.MaxBodyLimit/bytesPerKB)
		return 0
	}
	return int64(math.Round(kb * bytesPerKB))
}

// boolean reads a cell that must contain yes, true, 1, no, false or 0.
func (r *rowReader) boolean(col Column) bool {
	switch strings.ToLower(r.requiredText(col)) {
	case "yes", "true", "1":
		return true
	case "no", "false", "0", "":
		return false
	}
	r.addProblem(col, "", "must be yes or no, not %q", r.cells[col])
	return false
}
