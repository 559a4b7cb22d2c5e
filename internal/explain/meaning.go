package explain

// meanings explains each outcome: what happened and which log events to look at. The
// keys are "answered" and the names of error kinds.
var meanings = map[string]string{
	"answered":              "A backend server answered; its status is in request_done.",
	"overloaded":            "The queue at the server was longer than the request could wait; server_declined shows the length of the queue, ownership_write reason=balance whether keys were moved away. With body_refused, the slow link of the server's host had no room for the body before the deadline.",
	"backend-refused":       "The backend server stated that it did not run the request, each time the request was sent.",
	"backend-unavailable":   "No backend server of the service accepted new requests; look for server_lost, server_state, peer_state and evacuation_began.",
	"not-owner":             "The server that the ownership table names did not hold the key: the key was moving, or the server's grant was not renewed (grant_withheld).",
	"no-owner":              "No host owned the key according to the ownership table that the caller's daemon had.",
	"peer-unreachable":      "The daemon beside the backend server could not be reached; nothing was sent.",
	"draining":              "The daemon or the backend server was about to stop, or its failure domain is evacuated (evacuation_began).",
	"deadline-before-start": "The caller's deadline passed before anything reached a server.",
	"deadline-after-start":  "No answer came in time; the request may have run. Look for mesh_disconnected and server_lost of the last host.",
	"outcome-unknown":       "The connection failed after the request was sent; it may have run.",
	"answer-cut":            "The answer did not arrive completely or failed validation; the request ran or may have run.",
	"unconfigured":          "The daemon had no configuration yet; look for config_in_force.",
	"region-not-allowed":    "No backend server in the regions that the route allows could take it; look for route_without_server, or for the owner of the key.",
	"calls-without-room":    "What the backend server calls for this route has recently had no room too often; the requests that begin are limited to what these calls have room for.",
	"quarantined":           "Servers ended while they ran this request, one after the other; look for server_crashed and request_quarantined.",
	"no-route":              "No route of the configuration in force matches the request's host and path.",
	"canceled":              "The caller closed the connection before the answer.",
}

// Meaning explains the outcome. It is empty if the outcome has no explanation.
func (r Report) Meaning() string { return meanings[r.Outcome] }
