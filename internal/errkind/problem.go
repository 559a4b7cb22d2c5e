package errkind

import "time"

// ProblemMediaType is the media type of an encoded Problem.
const ProblemMediaType = "application/problem+json"

// problemTypePrefix turns the name of a kind into a URI reference, which RFC 9457
// requires as the problem type.
const problemTypePrefix = "/problems/"

// Problem is the body of an error answer. It holds problem details as defined by
// RFC 9457, with the kind and the truth as extension members.
type Problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Truth    Truth  `json:"truth"`
}

// Problem returns the problem details of e. The instance is the correlation ID of the
// failed request.
func (e *Error) Problem(requestID string) Problem {
	a := e.Answer()
	return Problem{
		Type:     problemTypePrefix + a.Name,
		Title:    a.Title,
		Status:   a.Status,
		Detail:   e.Detail,
		Instance: requestID,
		Kind:     a.Name,
		Truth:    a.Truth,
	}
}

// RetryAfterSeconds returns the value of the Retry-After header in whole seconds,
// rounded up. Zero means that the answer has no such header.
func (a Answer) RetryAfterSeconds() int {
	return int((a.RetryAfter + time.Second - 1) / time.Second)
}
