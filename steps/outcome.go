package steps

// Outcome is what became of a caller's request about a job.
type Outcome string

// The outcomes.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeJobNotFound says that there is no such job.
	OutcomeJobNotFound Outcome = "unknownJob"
	// OutcomeRefused says that nothing was done and nothing will be; the caller
	// may come back.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown says that the request may have taken effect, or may
	// later.
	OutcomeUnknown Outcome = "unsettled"
)
