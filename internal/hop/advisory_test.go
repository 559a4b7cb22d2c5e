package hop

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// An advisory must name the same instant on the clock of the receiver, which may have
// started after that instant.
func TestAdvisorySurvivesTheWire(t *testing.T) {
	sender, receiver := ident.Instant(time.Hour), ident.Instant(3*time.Hour)
	a := advisory.Advisory{Instance: roster.Instance{ID: "i", StartedMS: 7}, Limit: 12.5, Leaving: true, LeavingSince: sender.Add(-2 * time.Second)}
	head, _, err := encodeRequest(&Request{Advisory: &a}, sender, inlineBytes)
	assert.NilError(t, err)
	r, _, err := decodeRequest(head, receiver)
	assert.NilError(t, err)
	a.LeavingSince = receiver.Add(-2 * time.Second)
	assert.DeepEqual(t, *r.Advisory, a)

	a = advisory.Advisory{Limit: math.Inf(1)}
	head, _, err = encodeAnswer(&Answer{Advisory: &a}, sender, inlineBytes)
	assert.NilError(t, err)
	got, _, err := decodeAnswer(head, receiver)
	assert.NilError(t, err)
	assert.DeepEqual(t, *got.Advisory, advisory.Advisory{})
}

// While daemons are replaced one after the other, those of the version before advisories
// exchange messages with newer ones.
func TestMessagesOfDaemonsWithoutAdvisories(t *testing.T) {
	type oldAnswer struct {
		//lint:ignore U1000 the codec reads its tag
		_struct        struct{} `codec:",toarray"`
		Status         int
		Header         []string
		Body           []byte
		BodySize       int
		Failure        *wireFailure
		ReachedBackend bool
		Load           [3]int
		ServiceTimeMS  int64
	}
	head, err := codec.Marshal(&oldAnswer{Status: 200, ServiceTimeMS: 5})
	assert.NilError(t, err)
	a, _, err := decodeAnswer(head, 1)
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 200)
	assert.Assert(t, a.Advisory == nil)

	head, _, err = encodeAnswer(&Answer{Status: 200, ServiceTime: 5 * time.Millisecond, Advisory: &advisory.Advisory{Limit: 2}}, 1, inlineBytes)
	assert.NilError(t, err)
	var old oldAnswer
	assert.NilError(t, codec.Unmarshal(head, &old))
	assert.Equal(t, old.ServiceTimeMS, int64(5))
}
