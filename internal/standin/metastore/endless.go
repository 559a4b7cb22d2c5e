package metastore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

const (
	endlessPart = 64 << 10 // bytes written at once
	pageItems   = 100
)

// answerWithoutEnd answers a read with more than its caller can keep, and refuses appends.
func (s *Store) answerWithoutEnd(w http.ResponseWriter, r *http.Request, f Fault, era int) {
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f == EndlessAnswers:
		for part := make([]byte, endlessPart); ; {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	case !strings.HasSuffix(r.URL.Path, "log-newest"):
		w.WriteHeader(http.StatusGone)
	default:
		items := make([]map[string]any, pageItems)
		for i := range items {
			items[i] = map[string]any{"key": "k", "value": make([]byte, endlessPart/8), "offset": 0}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": true, "end_offset": 1}) // the caller may have left
	}
}
