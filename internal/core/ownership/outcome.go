package ownership

// Outcome is the result of folding one record.
type Outcome uint8

// Outcomes of a record. A record with any outcome other than Folded has no effect
// on the members, groups, slices, term and configuration.
const (
	Folded   Outcome = iota // the record took effect
	Repeated                // the offset or the writer's sequence number has been seen before
	Stale                   // refers to an outdated term, version, assignment, claim or incarnation
	Foreign                 // the writer never joined, or the state has forgotten it since it left
	Invalid                 // the content is inconsistent, or the writer is not entitled to it
	Rejected                // a configuration change that did not take effect
	Damaged                 // the record could not be decoded
	outcomeCount
)

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [outcomeCount]string{"folded", "repeated", "stale", "foreign", "invalid", "rejected", "damaged"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// Counters counts the records that a State has processed, by outcome. The counts
// are not part of a snapshot.
type Counters [outcomeCount]uint64

// Count returns the number of records with the outcome o.
func (c Counters) Count(o Outcome) uint64 { return c[o] }

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Folded, Repeated, Stale, Foreign, Invalid, Rejected, Damaged}
}
