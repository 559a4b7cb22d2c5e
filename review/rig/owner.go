package rig

import "time"

// LongestOverlap returns the longest time for which two servers held the same keys, and records
// each such time.
func LongestOverlap(rec *Recorder, all []Hold) time.Duration {
	longest := time.Duration(0)
	for _, a := range all {
		for _, b := range all {
			if a.Worker == b.Worker || a.From > b.To || b.From > a.To || a.Since >= b.Since {
				continue
			}
			if both := min(a.Until, b.Until) - b.Since; both > 0 {
				rec.Printf("both hold keys %d-%d for %v: %+v and %+v", max(a.From, b.From), min(a.To, b.To), both, a, b)
				longest = max(longest, both)
			}
		}
	}
	return longest
}
