package usage

import (
	"cmp"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Entry is a signed statement with its offset in the usage stream.
type Entry struct {
	Offset    ident.Offset
	Statement SignedStatement
}

// FindingKind is the kind of a fault in the usage stream.
type FindingKind string

// The kinds of findings.
const (
	Gap           FindingKind = "gap"            // statements are missing
	Fork          FindingKind = "fork"           // the statement does not continue the chain, or another one has its sequence
	BadSignature  FindingKind = "bad-signature"  // the signature does not match
	Forged        FindingKind = "forged"         // signed with another member's key, or a genuine statement has the same sequence
	Altered       FindingKind = "altered"        // the content differs from the hash in the next statement
	Repeated      FindingKind = "repeated"       // the same statement appears again; it is counted once
	Reordered     FindingKind = "reordered"      // the statement appears after a later one
	UnknownMember FindingKind = "unknown-member" // no public key of the member is known
	StartExpired  FindingKind = "start-expired"  // the log no longer contains the start of the chain
	Overlap       FindingKind = "overlap"        // the interval begins before the end of the previous one
)

// Finding is a fault that Verify found at one statement.
type Finding struct {
	Kind     FindingKind  `json:"kind"`
	Member   ident.Member `json:"member"`
	Sequence uint64       `json:"sequence"`
	Offset   ident.Offset `json:"offset"`
	Text     string       `json:"text"`
}

// Harmless reports whether the statements are complete despite the finding. This
// is so if a statement was appended again after a lost answer, and if the start of
// a chain expired from the log.
func (f Finding) Harmless() bool { return f.Kind == Repeated || f.Kind == StartExpired }

// String formats the finding for display.
func (f Finding) String() string {
	return fmt.Sprintf("%s: statement %d of %s at offset %d: %s", f.Kind, f.Sequence, f.Member, f.Offset, f.Text)
}

// ChainSummary describes the sound statements of a member.
type ChainSummary struct {
	Member     ident.Member `json:"member"`
	First      uint64       `json:"first"` // sequence of the first statement
	Last       uint64       `json:"last"`  // sequence of the last statement
	Statements int          `json:"statements"`
	Until      int64        `json:"until"` // end of the last interval, Unix milliseconds
}

// Report is the result of verifying a part of the usage stream.
type Report struct {
	Findings   []Finding
	Chains     []ChainSummary
	Statements []Statement // the sound statements, each once, sorted by member and sequence
}

// Sound reports whether every finding is harmless.
func (r Report) Sound() bool {
	return !slices.ContainsFunc(r.Findings, func(f Finding) bool { return !f.Harmless() })
}

// Input contains the part of the usage stream that Verify checks and the keys
// that it needs.
type Input struct {
	Entries []Entry // in the order of the stream
	Keys    map[ident.Member]ed25519.PublicKey
	// FromStart means that the entries begin with the first record ever written, so
	// that the start of a chain cannot have expired.
	FromStart bool
}

// Verify checks the signature of every statement and the hash chain of every
// member. The statements are linked as in S. Haber and W. S. Stornetta, "How to
// Time-Stamp a Digital Document" (1991).
func Verify(in Input) Report {
	v := verifier{in: in, chains: map[ident.Member]*chainCheck{}}
	for _, e := range in.Entries {
		v.addEntry(e)
	}
	v.classifyInvalid()
	for _, m := range v.members() {
		v.checkChain(v.chains[m])
	}
	slices.SortStableFunc(v.report.Findings, func(a, b Finding) int { return cmp.Compare(a.Offset, b.Offset) })
	return v.report
}

// chainLink is a statement with its offset in the stream, its signature and its
// hash.
type chainLink struct {
	offset    ident.Offset
	statement Statement
	signature []byte
	hash      [sha256.Size]byte
}

// chainCheck collects the statements of one member.
type chainCheck struct {
	member          ident.Member
	valid           map[uint64]chainLink // first correctly signed statement, by sequence
	invalid         map[uint64]bool      // sequences with a wrongly signed statement
	highestSequence uint64
}

// verifier holds the state of one Verify call.
type verifier struct {
	in      Input
	chains  map[ident.Member]*chainCheck
	invalid []chainLink // their signatures do not match the member's key
	report  Report
}

func (v *verifier) addFinding(kind FindingKind, l chainLink, format string, args ...any) {
	v.report.Findings = append(v.report.Findings, Finding{
		Kind: kind, Member: l.statement.Member, Sequence: l.statement.Sequence,
		Offset: l.offset, Text: fmt.Sprintf(format, args...),
	})
}

// addEntry checks the signature of an entry and adds it to its member's chain.
func (v *verifier) addEntry(e Entry) {
	l := chainLink{offset: e.Offset, statement: e.Statement.Statement, signature: e.Statement.Signature}
	data, err := encodeStatement(l.statement)
	if err != nil {
		v.addFinding(BadSignature, l, "cannot be encoded: %v", err)
		return
	}
	l.hash = sha256.Sum256(data)
	key, known := v.in.Keys[l.statement.Member]
	switch {
	case !known:
		v.addFinding(UnknownMember, l, "no public key of the member is known")
	case !verifySignature(key, data, l.signature):
		v.invalid = append(v.invalid, l)
		v.chainCheckOf(l.statement.Member).invalid[l.statement.Sequence] = true
	default:
		v.addValid(l)
	}
}

func verifySignature(key ed25519.PublicKey, data, signature []byte) bool {
	return len(key) == ed25519.PublicKeySize && ed25519.Verify(key, signingBytes(data), signature)
}

// chainCheckOf returns the chain of the member. It creates the chain if there is
// none.
func (v *verifier) chainCheckOf(m ident.Member) *chainCheck {
	c := v.chains[m]
	if c == nil {
		c = &chainCheck{member: m, valid: map[uint64]chainLink{}, invalid: map[uint64]bool{}}
		v.chains[m] = c
	}
	return c
}

// addValid adds a correctly signed statement to its chain, unless the chain already
// has a statement of the same sequence.
func (v *verifier) addValid(l chainLink) {
	c := v.chainCheckOf(l.statement.Member)
	seq := l.statement.Sequence
	first, seen := c.valid[seq]
	switch {
	case seen && first.hash == l.hash:
		v.addFinding(Repeated, l, "is the same as at offset %d", first.offset)
		return
	case seen:
		v.addFinding(Fork, l, "differs from the one at offset %d, both signed by the member", first.offset)
		return
	case seq < c.highestSequence:
		v.addFinding(Reordered, l, "stands after statement %d", c.highestSequence)
	}
	c.highestSequence = max(c.highestSequence, seq)
	c.valid[seq] = l
}

// classifyInvalid adds a finding for each statement with a wrong signature. It
// derives the most likely kind from the key that made the signature and from the
// member's other statements.
func (v *verifier) classifyInvalid() {
	for _, l := range v.invalid {
		if signer, ok := v.otherSigner(l); ok {
			v.addFinding(Forged, l, "is signed by %s", signer)
			continue
		}
		c := v.chains[l.statement.Member]
		seq := l.statement.Sequence
		genuine, hasGenuine := c.valid[seq]
		next, hasNext := c.valid[seq+1]
		switch {
		case hasGenuine:
			v.addFinding(Forged, l, "the member's own one is at offset %d", genuine.offset)
		case hasNext && next.statement.Prev == l.hash:
			v.addFinding(BadSignature, l, "the content is what its successor links to, the signature is not the member's")
		case hasNext:
			v.addFinding(Altered, l, "is not what its successor links to")
		default:
			v.addFinding(BadSignature, l, "the signature is not the member's, and no successor confirms the content")
		}
	}
}

// otherSigner returns the member whose key made the signature, if any did.
func (v *verifier) otherSigner(l chainLink) (ident.Member, bool) {
	data, err := encodeStatement(l.statement)
	if err != nil {
		return ident.Member{}, false
	}
	for m, key := range v.in.Keys {
		if verifySignature(key, data, l.signature) {
			return m, true
		}
	}
	return ident.Member{}, false
}

// members returns the members that have a chain, in sorted order.
func (v *verifier) members() []ident.Member {
	members := make([]ident.Member, 0, len(v.chains))
	for m := range v.chains {
		members = append(members, m)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

func compareMembers(a, b ident.Member) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// checkChain checks the links between the correctly signed statements of a member
// and adds the statements and their summary to the report.
func (v *verifier) checkChain(c *chainCheck) {
	if len(c.valid) == 0 {
		return
	}
	sequences := make([]uint64, 0, len(c.valid))
	for seq := range c.valid {
		sequences = append(sequences, seq)
	}
	slices.Sort(sequences)
	sum := ChainSummary{Member: c.member, First: sequences[0]}
	for i, seq := range sequences {
		l := c.valid[seq]
		if i == 0 {
			v.checkStart(c, l)
		} else {
			v.checkLink(c, c.valid[sequences[i-1]], l)
		}
		sum.Last, sum.Until = seq, l.statement.To
		sum.Statements++
		v.report.Statements = append(v.report.Statements, l.statement)
	}
	v.report.Chains = append(v.report.Chains, sum)
}

// checkStart checks the first statement of a chain.
func (v *verifier) checkStart(c *chainCheck, l chainLink) {
	missing := c.countMissing(1, l.statement.Sequence)
	switch {
	case l.statement.Sequence <= 1 && l.statement.Prev != [sha256.Size]byte{}:
		v.addFinding(Fork, l, "is the first but links to a statement before it")
	case missing > 0 && v.in.FromStart:
		v.addFinding(Gap, l, "%d statements before it are missing", missing)
	case missing > 0:
		v.addFinding(StartExpired, l, "the log no longer keeps the statements before")
	}
}

// checkLink checks that a statement continues the previous one of its chain.
func (v *verifier) checkLink(c *chainCheck, previous, l chainLink) {
	next := previous.statement.Sequence + 1
	missing := c.countMissing(next, l.statement.Sequence)
	switch {
	case missing > 0:
		v.addFinding(Gap, l, "%d statements before it are missing", missing)
	case next == l.statement.Sequence && l.statement.Prev != previous.hash:
		v.addFinding(Fork, l, "does not link to the one at offset %d", previous.offset)
	}
	if l.statement.From < previous.statement.To {
		v.addFinding(Overlap, l, "begins before the statement before it ended")
	}
}

// countMissing returns the number of sequences in the range [from, to) that have
// no statement at all, not even a wrongly signed one.
func (c *chainCheck) countMissing(from, to uint64) uint64 {
	if to <= from {
		return 0
	}
	n := to - from
	for seq := range c.invalid {
		if seq >= from && seq < to {
			n--
		}
	}
	return n
}
