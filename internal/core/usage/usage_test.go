package usage_test

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/usage"
)

var (
	members     = []ident.Member{{Host: "a", Incarnation: 1}, {Host: "b", Incarnation: 2}, {Host: "c", Incarnation: 3}}
	privateKeys = [...]ed25519.PrivateKey{newKey(1), newKey(2), newKey(3), newKey(4)}
)

func newKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
}

func publicKeys() map[ident.Member]ed25519.PublicKey {
	keys := map[ident.Member]ed25519.PublicKey{}
	for i, m := range members {
		keys[m] = privateKeys[i].Public().(ed25519.PublicKey)
	}
	return keys
}

const maxChainLength = 6 // statements

// chainID identifies a generated chain by the indexes of its member and its key,
// and by its salt.
type chainID struct {
	member, key int
	salt        uint64
}

// chains caches the generated chains.
var chains = map[chainID][]usage.SignedStatement{}

// chainOf returns the first n statements of the chain of members[member], signed
// with privateKeys[key]. Chains with different salts have different content.
func chainOf(t rapid.TB, member, key, n int, salt uint64) []usage.SignedStatement {
	id := chainID{member: member, key: key, salt: salt}
	if chains[id] == nil {
		chains[id] = makeChain(t, member, key, salt)
	}
	return slices.Clone(chains[id][:n])
}

func makeChain(t rapid.TB, member, key int, salt uint64) []usage.SignedStatement {
	c := usage.NewChain(members[member], "r", privateKeys[key])
	var list []usage.SignedStatement
	for i := range maxChainLength {
		s, err := c.SignNext(int64(i*10), int64(i*10+10), []usage.Line{{Service: "s", Requests: uint64(i) + salt}})
		assert.NilError(t, err)
		list = append(list, s)
	}
	return list
}

// interleave merges chains into one stream in a random order that preserves the
// order of each chain.
func interleave(t *rapid.T, chains [][]usage.SignedStatement) []usage.Entry {
	var entries []usage.Entry
	for {
		var remaining []int
		for i, c := range chains {
			if len(c) > 0 {
				remaining = append(remaining, i)
			}
		}
		if len(remaining) == 0 {
			return entries
		}
		i := rapid.SampledFrom(remaining).Draw(t, "next")
		entries = append(entries, usage.Entry{Offset: ident.Offset(len(entries)), Statement: chains[i][0]})
		chains[i] = chains[i][1:]
	}
}

// tamperings maps each kind of finding to a function that tampers with the chain c
// of member 0 so that Verify must report this kind. The statement at index i is
// neither the first nor the last one. The empty kind leaves the chain unchanged.
var tamperings = map[usage.FindingKind]func(t *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement{
	"": func(_ *rapid.T, c []usage.SignedStatement, _ int) []usage.SignedStatement { return c },
	usage.Gap: func(t *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		i -= rapid.IntRange(0, i).Draw(t, "earlier")
		return append(c[:i:i], c[i+1:]...)
	},
	usage.Altered: func(t *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		if rapid.Bool().Draw(t, "line") {
			c[i].Statement.Lines = []usage.Line{{Service: "s", Requests: 1_000_000}}
		} else {
			c[i].Statement.To++
		}
		return c
	},
	usage.BadSignature: func(t *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		c[i].Signature = bytes.Clone(c[i].Signature)
		c[i].Signature[rapid.IntRange(0, 63).Draw(t, "byte")] ^= 1
		return c
	},
	usage.Forged: func(t *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		if rapid.Bool().Draw(t, "replace") {
			c[i] = chainOf(t, 0, 1, i+1, 50)[i]
			return c
		}
		return append(c[:i+1:i+1], append(chainOf(t, 0, 3, i+1, 50)[i:], c[i+1:]...)...)
	},
	usage.Repeated: func(_ *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		return append(c, c[i])
	},
	usage.Reordered: func(_ *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		c[i], c[i+1] = c[i+1], c[i]
		return c
	},
	usage.Fork: func(t *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		other := chainOf(t, 0, 0, len(c), 50)
		if rapid.Bool().Draw(t, "beside") {
			return append(c, other[i])
		}
		return append(c[:i:i], other[i:]...)
	},
	usage.UnknownMember: func(_ *rapid.T, c []usage.SignedStatement, i int) []usage.SignedStatement {
		s := c[i]
		s.Statement.Member.Incarnation = 99
		return append(c, s)
	},
}

func TestVerifyNamesEachTampering(t *testing.T) {
	kinds := slices.Sorted(maps.Keys(tamperings))
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		n := rapid.IntRange(3, maxChainLength).Draw(t, "length")
		i := rapid.IntRange(1, n-2).Draw(t, "at")
		chains := [][]usage.SignedStatement{
			tamperings[kind](t, chainOf(t, 0, 0, n, 0), i), chainOf(t, 1, 1, n, 0), chainOf(t, 2, 2, n, 0),
		}
		report := usage.Verify(usage.Input{Entries: interleave(t, chains), Keys: publicKeys(), FromStart: true})
		if kind == "" {
			assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
			assert.Equal(t, len(report.Statements), 3*n)
			return
		}
		assert.Assert(t, len(report.Findings) > 0, "nothing found")
		for _, f := range report.Findings {
			assert.Equal(t, f.Kind, kind, "%s", f)
			assert.Equal(t, f.Member.Host, members[0].Host)
		}
		assert.Equal(t, report.Sound(), kind == usage.Repeated)
		assert.Assert(t, len(report.Statements) <= 3*n)
	})
}

func TestVerifyAcceptsAnExpiredStart(t *testing.T) {
	c := chainOf(t, 0, 0, 4, 0)
	entries := []usage.Entry{{Offset: 7, Statement: c[2]}, {Offset: 8, Statement: c[3]}}
	report := usage.Verify(usage.Input{Entries: entries, Keys: publicKeys()})
	assert.Assert(t, report.Sound())
	assert.Equal(t, fmt.Sprint(report.Findings),
		"[start-expired: statement 3 of a/1 at offset 7: the log no longer keeps the statements before]")
}

// TestMetersAgreeWithPlainSums meters random requests at both ends of their hops
// over several intervals, and compares the totals and pairs with sums that the test
// computes itself. Some requests are lost between the ends.
func TestMetersAgreeWithPlainSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []ident.Region{"n", "n", "s"}
		meters := []*usage.Meter{usage.NewMeter("n"), usage.NewMeter("n"), usage.NewMeter("s")}
		var statements []usage.Statement
		var requests, executed, interregion uint64
		lost := uint64(0)
		var slotSum time.Duration
		flush := func(i int) {
			statements = append(statements, usage.Statement{Member: members[i], Region: regions[i], Lines: meters[i].TakeLines()})
		}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			entry := rapid.IntRange(0, 2).Draw(t, "entry")
			owner := rapid.IntRange(0, 2).Draw(t, "owner")
			slotTime := time.Duration(rapid.IntRange(0, 3_000_000).Draw(t, "ns"))
			s := usage.Sample{Service: "s", Tenant: "t", BytesIn: 3, BytesOut: 5}
			execution := s
			execution.Executed, execution.SlotTime = true, slotTime
			requests, executed, slotSum = requests+1, executed+1, slotSum+slotTime
			meters[entry].Add(usage.Sample{Service: "s", Tenant: "t"})
			execution.Run = entry == owner
			if entry != owner {
				s.Sent, s.Peer, s.PeerRegion = true, members[owner], regions[owner]
				execution.Peer, execution.PeerRegion = members[entry], regions[entry]
				meters[entry].Add(s)
				if regions[entry] != regions[owner] {
					interregion += 8
				}
				if rapid.IntRange(0, 9).Draw(t, "drop") == 0 {
					lost, executed, slotSum = lost+1, executed-1, slotSum-slotTime
					interregion -= map[bool]uint64{true: 8}[regions[entry] != regions[owner]]
					continue
				}
			}
			meters[owner].Add(execution)
			if rapid.Bool().Draw(t, "flush") {
				flush(owner)
			}
		}
		for i := range meters {
			flush(i)
		}
		var sum usage.Total
		for _, total := range usage.SumTotals(statements) {
			sum.Requests += total.Requests
			sum.Executed += total.Executed
			sum.SlotMillis += total.SlotMillis
			sum.InterregionBytes += total.InterregionBytes
		}
		assert.Equal(t, sum.Requests, requests)
		assert.Equal(t, sum.Executed, executed)
		assert.Equal(t, sum.InterregionBytes, interregion)
		// Each line of each meter retains less than a millisecond.
		assert.Assert(t, sum.SlotMillis <= uint64(slotSum/time.Millisecond))
		assert.Assert(t, sum.SlotMillis+9 >= uint64(slotSum/time.Millisecond))
		mismatches := uint64(0)
		for _, p := range usage.ReconcileMembers(statements) {
			mismatches += p.Sent.Requests - p.Received.Requests
		}
		assert.Equal(t, mismatches, lost)
		for _, p := range usage.ReconcileRegions(statements) {
			mismatches -= p.Sent.Requests - p.Received.Requests
		}
		assert.Equal(t, mismatches, uint64(0))
	})
}

func TestSlotTimeBelowAMillisecondIsCarriedOver(t *testing.T) {
	m := usage.NewMeter("n")
	var sum uint64
	for range 10 {
		m.Add(usage.Sample{Service: "s", Executed: true, SlotTime: 500 * time.Microsecond})
		for _, l := range m.TakeLines() {
			sum += l.SlotMillis
		}
	}
	assert.Equal(t, sum, uint64(5))
}

// TestManyPeersAreSummedByRegion counts requests to more peers than a statement
// names, and expects the counts of both ends to agree by region.
func TestManyPeersAreSummedByRegion(t *testing.T) {
	const peers = 1000
	hubMeter := usage.NewMeter("n")
	var statements []usage.Statement
	for i := range peers {
		peer := ident.Member{Host: ident.Host(fmt.Sprint(i)), Incarnation: 1}
		region := []ident.Region{"n", "s"}[i%2]
		hubMeter.Add(usage.Sample{Service: "s", Peer: peer, PeerRegion: region, Sent: true, BytesIn: 7})
		m := usage.NewMeter(region)
		m.Add(usage.Sample{Service: "s", Peer: members[0], PeerRegion: "n", Executed: true, BytesIn: 7})
		statements = append(statements, usage.Statement{Member: peer, Region: region, Lines: m.TakeLines()})
	}
	lines := hubMeter.TakeLines()
	assert.Assert(t, len(lines) <= 258, "%d lines", len(lines))
	statements = append(statements, usage.Statement{Member: members[0], Region: "n", Lines: lines})
	pairs, regions := usage.ReconcileMembers(statements), usage.ReconcileRegions(statements)
	assert.Equal(t, usage.UnreconciledRatio(pairs, regions), 0.0)
	assert.Equal(t, len(pairs), peers)
	assert.DeepEqual(t, regions, []usage.RegionPair{
		{From: "n", To: "n", Service: "s", Sent: usage.HopCounts{Requests: 500, BytesIn: 3500}, Received: usage.HopCounts{Requests: 500, BytesIn: 3500}},
		{From: "n", To: "s", Service: "s", Sent: usage.HopCounts{Requests: 500, BytesIn: 3500}, Received: usage.HopCounts{Requests: 500, BytesIn: 3500}},
	})
	for _, p := range pairs {
		assert.Assert(t, p.Agrees() && !p.Itemized)
	}
	statements = statements[1:]
	assert.Equal(t, usage.UnreconciledRatio(usage.ReconcileMembers(statements), usage.ReconcileRegions(statements)), 0.001)
}

func FuzzVerify(f *testing.F) {
	data, err := codec.Marshal(chainOf(f, 0, 0, 1, 0)[0])
	assert.NilError(f, err)
	f.Add(data, uint64(1))
	f.Fuzz(func(t *testing.T, data []byte, offset uint64) {
		var s usage.SignedStatement
		if codec.Unmarshal(data, &s) != nil {
			return
		}
		e := usage.Entry{Offset: ident.Offset(offset), Statement: s}
		report := usage.Verify(usage.Input{Entries: []usage.Entry{e, e}, Keys: publicKeys()})
		usage.SumTotals(report.Statements)
		usage.ReconcileMembers(report.Statements)
	})
}
