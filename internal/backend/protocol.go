// Package backend implements the daemon's side of the protocol with the backend
// server beside it. The server announces itself at the LocalPort, and the Registry
// holds the announcement until it expires. The Executor sends requests to the
// announced server, and the CommandSender sends it grants and cancellations. An
// error of a request states the execution status not-run only if no byte of the
// request was sent or the server reported that it did not run the request.
package backend

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Header fields that the daemon sets on a request to a backend server.
const (
	HeaderRequestID  = "Burdock-Request-Id"
	HeaderService    = "Burdock-Service"
	HeaderSlice      = "Burdock-Slice"
	HeaderEpoch      = "Burdock-Epoch"
	HeaderDeadlineMS = "Burdock-Deadline-Ms" // remaining time in milliseconds
)

// HeaderRefused is the header field that a backend server sets on an answer when it
// did not run the request. Its value is one of the Refused constants.
const HeaderRefused = "Burdock-Refused"

// Values of the HeaderRefused field.
const (
	RefusedStaleEpoch = "stale-epoch"
	RefusedLapsed     = "lapsed"
	RefusedShed       = "shed"
	RefusedDraining   = "draining"
)

// Paths on the backend server that only the daemon requests.
const (
	PathGrants = "/burdock/v1/grants"
	PathCancel = "/burdock/v1/cancel"
)

// PathAnnounce is the path of announcements on the daemon's local port. PUT
// announces the server or renews its announcement, and DELETE withdraws it.
const PathAnnounce = "/v1/backend"

// Announcement is the JSON body with which a backend server announces itself or
// renews its announcement.
type Announcement struct {
	Pool            ident.Pool `json:"pool"`
	Addr            string     `json:"addr"`     // host:port at which the server serves requests
	Instance        string     `json:"instance"` // changes when the server restarts
	Slots           uint32     `json:"slots"`
	Connections     uint32     `json:"connections"`
	ChecksGrants    bool       `json:"checks_grants"`
	ColdStartMS     int64      `json:"cold_start_ms"`
	AcceptsCancel   bool       `json:"accepts_cancel"`
	AcceptsDeadline bool       `json:"accepts_deadline"`
	ReportsLoad     bool       `json:"reports_load"`
	Draining        bool       `json:"draining"`
	SlotsInUse      uint32     `json:"slots_in_use"` // load hint, which may be out of date
}

// AnnounceReply is the JSON answer to an announcement.
type AnnounceReply struct {
	RenewMS int64 `json:"renew_ms"` // interval at which the server renews the announcement
	HoldMS  int64 `json:"hold_ms"`  // time until the announcement expires without renewal
}

// GrantMessage is the JSON body of a request to PathGrants. It grants slices, each
// at an epoch, to the server for TTLMS from receipt. It renews or replaces the
// earlier grants of these slices and does not change the grants of other slices.
type GrantMessage struct {
	Member ident.Member `json:"member"`
	Seq    uint64       `json:"seq"` // increases with each message of the member
	TTLMS  int64        `json:"ttl_ms"`
	Grants []SliceGrant `json:"grants"`
}

// SliceGrant is the right to serve one slice at an epoch.
type SliceGrant struct {
	Service ident.Service `json:"service"`
	Index   uint32        `json:"index"`
	Epoch   ident.Epoch   `json:"epoch"`
}

// CancelMessage is the JSON body of a request to PathCancel.
type CancelMessage struct {
	RequestID string `json:"request_id"`
}
