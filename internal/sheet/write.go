package sheet

import (
	"encoding/base64"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

// Write writes the document in canonical form: with all columns, commas as
// separators and LF line ends, without notes, and with pools, services, shares and
// keys in this order, each sorted as in a canonical document.
func Write(w io.Writer, d config.Document) error {
	out := csv.NewWriter(w)
	out.Write(headerCells())
	d = d.Canonical()
	for _, p := range d.Pools {
		out.Write(entryCells(config.KindPool, map[Column]string{
			ColName:   string(p.Name),
			ColTenant: string(p.Tenant),
		}))
	}
	for _, s := range d.Services {
		out.Write(entryCells(config.KindService, serviceCells(s)))
	}
	for _, s := range d.Shares {
		out.Write(entryCells(config.KindShare, map[Column]string{
			ColTenant:  string(s.Tenant),
			ColRegion:  string(s.Region),
			ColPercent: formatFloat(s.Percent),
		}))
	}
	for _, k := range d.Keys {
		out.Write(entryCells(config.KindKey, keyCells(k)))
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("sheet: write: %w", err)
	}
	return nil
}

func headerCells() []string {
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = string(c)
	}
	return cells
}

// entryCells returns the cells of a row in the order of the columns.
func entryCells(kind config.EntryKind, values map[Column]string) []string {
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = values[c]
	}
	cells[0] = string(kind)
	return cells
}

func serviceCells(s config.Service) map[Column]string {
	cells := map[Column]string{
		ColName:       string(s.Name),
		ColTenant:     string(s.Tenant),
		ColMode:       string(s.Mode),
		ColPool:       string(s.Pool),
		ColKeyFrom:    string(s.KeyFrom),
		ColDeadline:   strconv.FormatInt(int64(s.Deadline/time.Millisecond), 10),
		ColMaxBody:    formatFloat(float64(s.MaxBody) / bytesPerKB),
		ColRepeatable: "no",
	}
	if s.Slices > 0 {
		cells[ColSlices] = strconv.FormatUint(uint64(s.Slices), 10)
	}
	if s.Repeatable {
		cells[ColRepeatable] = "yes"
	}
	return cells
}

func keyCells(k config.Key) map[Column]string {
	mode := keyActive
	if k.Revoked {
		mode = keyRevoked
	}
	return map[Column]string{
		ColName:      k.Name,
		ColTenant:    string(k.Tenant),
		ColMode:      mode,
		ColPublicKey: base64.StdEncoding.EncodeToString(k.PublicKey),
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
