package ownership

// Outcome says what the fold did with one record.
type Outcome uint8

// The outcomes of a record. All but Folded leave the table as it was.
const (
	Folded   Outcome = iota // the record took effect
	Repeated                // the offset or the writer's sequence number was folded before
	Stale                   // built on an older term, version, assignment, claim or incarnation
	Foreign                 // the writer never joined, or was forgotten after it left
	Invalid                 // the content contradicts itself or the writer's rights
	Rejected                // a configuration change that did not become the version in force
	Damaged                 // the record could not be decoded
	outcomeCount
)

// outcomeNames are the words used in logs and metrics.
var outcomeNames = [outcomeCount]string{"folded", "repeated", "stale", "foreign", "invalid", "rejected", "damaged"}

// String returns the outcome as a word for logs and metrics.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// Counters counts the records folded since the process started, by outcome.
type Counters [outcomeCount]uint64

// Count returns the number of records with outcome o.
func (c Counters) Count(o Outcome) uint64 { return c[o] }

// Outcomes lists every outcome.
func Outcomes() []Outcome {
	return []Outcome{Folded, Repeated, Stale, Foreign, Invalid, Rejected, Damaged}
}
