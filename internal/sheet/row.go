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

// rowReader turns the cells of one row into a thing and notes their problems.
type rowReader struct {
	number       int
	cells        map[Column]string
	decimalComma bool // the sheet is separated by semicolons
	problems     *Problems
}

func (r *rowReader) problem(col Column, hint, format string, args ...any) {
	r.problems.add(r.number, col, hint, format, args...)
}

// only reports each cell with a value outside the named columns.
func (r *rowReader) only(kind config.EntryKind, allowed ...Column) {
	used := map[Column]bool{ColKind: true, ColTenant: true, ColNote: true, "": true}
	for _, col := range allowed {
		used[col] = true
	}
	for _, col := range columns {
		if !used[col] && r.cells[col] != "" {
			r.problem(col, "clear the cell", "does not belong to a %s", kind)
		}
	}
}

func (r *rowReader) required(col Column) string {
	value := r.cells[col]
	if value == "" {
		r.problem(col, "", "is empty")
	}
	return value
}

func (r *rowReader) tenant() ident.Tenant { return ident.Tenant(r.required(ColTenant)) }

func (r *rowReader) service() config.Service {
	r.only(config.KindService, ColName, ColMode, ColPool, ColSlices, ColKeyFrom, ColDeadline, ColMaxBody, ColRepeatable)
	s := config.Service{
		Name:       ident.Service(r.required(ColName)),
		Tenant:     r.tenant(),
		Mode:       config.Mode(strings.ToLower(r.required(ColMode))),
		Pool:       ident.Pool(r.required(ColPool)),
		KeyFrom:    config.KeySource(strings.ToLower(r.cells[ColKeyFrom])),
		Deadline:   time.Duration(r.positive(ColDeadline)) * time.Millisecond,
		MaxBody:    r.kilobytes(ColMaxBody),
		Repeatable: r.yesNo(ColRepeatable),
	}
	if r.cells[ColSlices] != "" || s.Mode == config.Keyed {
		s.Slices = uint32(r.positive(ColSlices))
	}
	return s
}

func (r *rowReader) pool() config.Pool {
	r.only(config.KindPool, ColName)
	return config.Pool{Name: ident.Pool(r.required(ColName)), Tenant: r.tenant()}
}

func (r *rowReader) share() config.Share {
	r.only(config.KindShare, ColRegion, ColPercent)
	return config.Share{
		Region:  ident.Region(r.required(ColRegion)),
		Tenant:  r.tenant(),
		Percent: r.number64(ColPercent, strings.TrimSuffix(r.required(ColPercent), "%")),
	}
}

func (r *rowReader) key() config.Key {
	r.only(config.KindKey, ColName, ColMode, ColPublicKey)
	k := config.Key{Name: r.required(ColName), Tenant: r.tenant()}
	raw, err := base64.StdEncoding.DecodeString(r.required(ColPublicKey))
	if err != nil {
		r.problem(ColPublicKey, "copy it from burdockctl keygen", "is not base64")
	}
	k.PublicKey = raw
	switch mode := strings.ToLower(r.cells[ColMode]); mode {
	case "", keyActive:
	case keyRevoked:
		k.Revoked = true
	default:
		r.problem(ColMode, "", "must be active or revoked for a key, not %q", mode)
	}
	return k
}

// positive reads a whole number of at least 1 that fits 32 bits.
func (r *rowReader) positive(col Column) uint64 {
	value := r.required(col)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 {
		r.problem(col, "digits only, without separators", "must be a whole number greater than zero, not %q", value)
		return 0
	}
	return n
}

// number64 reads a decimal number; its mark may be a comma where cells are
// separated by semicolons.
func (r *rowReader) number64(col Column, value string) float64 {
	if value == "" {
		return 0
	}
	if r.decimalComma {
		value = strings.Replace(value, ",", ".", 1)
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.problem(col, "digits without separators", "must be a number, not %q", value)
		return 0
	}
	return f
}

func (r *rowReader) kilobytes(col Column) int64 {
	kb := r.number64(col, r.required(col))
	if kb < 0 || kb > config.MaxBodyLimit/bytesPerKB {
		r.problem(col, "", "must be from 1 to %d", config.MaxBodyLimit/bytesPerKB)
		return 0
	}
	return int64(math.Round(kb * bytesPerKB))
}

func (r *rowReader) yesNo(col Column) bool {
	switch strings.ToLower(r.required(col)) {
	case "yes", "true", "1":
		return true
	case "no", "false", "0", "":
		return false
	}
	r.problem(col, "", "must be yes or no, not %q", r.cells[col])
	return false
}
