// Package outcome defines the possible outcomes of a job: a complete answer, a failure
// of the job itself, a refusal which guarantees that the job was not run, or an unknown
// outcome. An outcome is always exactly one of these.
package outcome

// Outcome is a sealed interface. Its implementations are Answer, Failed, NotRun and
// Unknown.
type Outcome interface{ outcome() }

// Answer means that the job ran and its complete answer exists.
type Answer struct {
	// Length is the size of the complete answer in bytes.
	Length int64
	// Checksum is the xxHash64 of the complete answer.
	Checksum uint64
	// Parts lists the parts of the answer and where each is stored, in the order
	// of their bytes. It is empty if Body was recorded instead.
	Parts []Part
	// Body holds the answer if it is at most MaxInlineBytes long and was
	// received from the agents. Otherwise Body is empty, and Parts says where to read the answer.
	Body []byte
}

// MaxInlineBytes is the maximum size of an answer that is stored in the job's end record
// in the log.
const MaxInlineBytes = 64 << 10

// Part is the part of an answer that one task produced. The agent that ran the task
// stores it.
type Part struct {
	VM       string
	Attempt  string
	Rank     int
	Length   int64
	Checksum uint64
}

// Failed means that the job ran and ended with an error of its own, or was stopped
// after it had started or may have started.
type Failed struct {
	// Reason is the job's error, or states who stopped the job.
	Reason string
	// Cancelled is true if the job was stopped because the caller cancelled it.
	Cancelled bool
}

// NotRun means that no part of the job was started and none will be.
type NotRun struct {
	// Rule is the name of the rule that refused the job. The command
	// `celerypoint explain` describes each rule.
	Rule string
	// Reason contains the values that led to the refusal.
	Reason string
}

// Unknown means that the job may or may not have run.
type Unknown struct {
	// Reason states why that is unknown, for example which reply was lost.
	Reason string
}

func (Answer) outcome()  {}
func (Failed) outcome()  {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// Kind is the name of an outcome's type in messages, in records and in what users see.
type Kind string

// The kinds, one for each type of outcome.
const (
	KindAnswer  Kind = "answer"
	KindFailed  Kind = "failed"
	KindNotRun  Kind = "notRun"
	KindUnknown Kind = "unknown"
)

// KindOf returns the kind of the outcome, or an empty string if o is nil because the job
// has not ended.
func KindOf(o Outcome) Kind {
	switch o.(type) {
	case Answer:
		return KindAnswer
	case Failed:
		return KindFailed
	case NotRun:
		return KindNotRun
	case Unknown:
		return KindUnknown
	default:
		return ""
	}
}
