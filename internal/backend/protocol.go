// Package backend is the daemon's side of the protocol with the backend server
// beside it: announcements, grants, requests, cancellation and drain.
package backend

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Header fields of a request handed to a backend server.
const (
	HeaderRequestID  = "Burdock-Request-Id"
	HeaderService    = "Burdock-Service"
	HeaderSlice      = "Burdock-Slice"
	HeaderEpoch      = "Burdock-Epoch"
	HeaderDeadlineMS = "Burdock-Deadline-Ms" // time left, milliseconds
)

// HeaderRefused is set on an answer when the backend server did not run the
// request. Its value is one of the Refused constants.
const HeaderRefused = "Burdock-Refused"

// The values of HeaderRefused.
const (
	RefusedStaleEpoch = "stale-epoch"
	RefusedLapsed     = "lapsed"
	RefusedShed       = "shed"
	RefusedDraining   = "draining"
)

// Paths on the backend server that only the daemon calls.
const (
	PathGrants = "/burdock/v1/grants"
	PathCancel = "/burdock/v1/cancel"
)

// PathAnnounce is the path on the daemon's local port: PUT announces or renews,
// DELETE withdraws.
const PathAnnounce = "/v1/backend"

// Announcement is the JSON body by which a backend server announces itself or
// renews its announcement.
type Announcement struct {
	Pool            ident.Pool `json:"pool"`
	Addr            string     `json:"addr"`     // host:port that serves requests
	Instance        string     `json:"instance"` // changes when the server restarts
	Slots           uint32     `json:"slots"`
	Connections     uint32     `json:"connections"`
	ChecksGrants    bool       `json:"checks_grants"`
	ColdStartMS     int64      `json:"cold_start_ms"`
	AcceptsCancel   bool       `json:"accepts_cancel"`
	AcceptsDeadline bool       `json:"accepts_deadline"`
	ReportsLoad     bool       `json:"reports_load"`
	Draining        bool       `json:"draining"`
	SlotsInUse      uint32     `json:"slots_in_use"` // a hint, may lag
}

// AnnounceReply tells the server how often to renew and how long the
// announcement holds.
type AnnounceReply struct {
	RenewMS int64 `json:"renew_ms"`
	HoldMS  int64 `json:"hold_ms"`
}

// GrantMessage is the JSON body of PathGrants: slices that the server may serve,
// each with its epoch, for the given time from receipt. It renews or replaces
// the earlier grants of these slices and leaves others alone.
type GrantMessage struct {
	Member ident.Member `json:"member"`
	Seq    uint64       `json:"seq"` // grows with each message of the member
	TTLMS  int64        `json:"ttl_ms"`
	Grants []SliceGrant `json:"grants"`
}

// SliceGrant is the right to serve one slice at an epoch.
type SliceGrant struct {
	Service ident.Service `json:"service"`
	Index   uint32        `json:"index"`
	Epoch   ident.Epoch   `json:"epoch"`
}

// CancelMessage is the JSON body of PathCancel.
type CancelMessage struct {
	RequestID string `json:"request_id"`
}
