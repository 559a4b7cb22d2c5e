package usage

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Total is the use of one service by one tenant in one region. Requests and
// Refusals count the requests that callers sent to the daemons of the region, each
// once however often it was forwarded. The other fields are counted by the daemons
// of the region that received the work. Each of them counts the bytes, so a
// request that was forwarded a second time contributes its bytes twice.
type Total struct {
	Tenant           ident.Tenant  `json:"tenant"`
	Service          ident.Service `json:"service"`
	Region           ident.Region  `json:"region"`
	Requests         uint64        `json:"requests"`
	Refusals         uint64        `json:"refusals"`
	Executed         uint64        `json:"executed"`
	SlotMillis       uint64        `json:"slot_ms"`
	BytesIn          uint64        `json:"bytes_in"`
	BytesOut         uint64        `json:"bytes_out"`
	InterregionBytes uint64        `json:"interregion_bytes"`
}

type totalKey struct {
	tenant  ident.Tenant
	service ident.Service
	region  ident.Region
}

// SumTotals sums statements by tenant, service and region and returns the totals
// in this order. The statements must be sound ones, as Verify returns them. Of
// what both ends of a hop count, only the counts of the receiving end are used.
func SumTotals(statements []Statement) []Total {
	sums := map[totalKey]*Total{}
	for _, s := range statements {
		for _, l := range s.Lines {
			k := totalKey{tenant: l.Tenant, service: l.Service, region: s.Region}
			if sums[k] == nil {
				sums[k] = &Total{Tenant: k.tenant, Service: k.service, Region: k.region}
			}
			sums[k].add(l)
		}
	}
	list := make([]Total, 0, len(sums))
	for _, t := range sums {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return list
}

// add adds a line to the total.
func (t *Total) add(l Line) {
	if l.Peer.IsZero() {
		t.Requests += l.Requests
		t.Refusals += l.Refusals
	}
	if l.Sent {
		return
	}
	t.Executed += l.Executed
	t.SlotMillis += l.SlotMillis
	t.BytesIn += l.BytesIn
	t.BytesOut += l.BytesOut
	t.InterregionBytes += l.InterregionBytes
}
