package settings

import (
	"fmt"
	"strings"
)

// Problem describes one invalid setting. Path names its key, for example
// "mesh.tls.cert_file".
type Problem struct {
	Path string
	Line int // in the file, from 1; zero when the key is not in the file
	Text string
}

// String formats the problem as "path: text", with the line after the path if it is
// known.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Path, p.Text)
	}
	return fmt.Sprintf("%s (line %d): %s", p.Path, p.Line, p.Text)
}

// Problems is an error that lists every problem found.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// errOrNil returns the problems as an error, or nil if there are none.
func (p Problems) errOrNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
