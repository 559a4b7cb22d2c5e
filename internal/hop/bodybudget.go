package hop

import "github.com/burdockfold/burdockfold/internal/held"

// MinBudgetedBody is the length in bytes from which a body counts toward the budget of bodies.
const MinBudgetedBody = held.LongBytes

// BodyBudget bounds the memory that the bodies of callers' and other daemons' requests take,
// together with all else that a daemon holds for others.
type BodyBudget = held.Memory
