package steps

// Outcome is the result of a caller's request about a job.
type Outcome string

const (
	OutcomeOK Outcome = "ok"
	// OutcomeJobNotFound means that there is no job with the requested ID.
	OutcomeJobNotFound Outcome = "unknownJob"
	// OutcomeRefused means that the request was not carried out and has no effect
	// later either. The caller may retry it.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the request may have taken effect, or may still
	// take effect later.
	OutcomeUnknown Outcome = "unsettled"
)
