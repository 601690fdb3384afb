// Package outcome holds the ways in which a request ends. They are never
// mixed: a whole answer, a failure of the job itself, a refusal that says the
// request was not run, or an outcome that nobody knows.
package outcome

// Outcome is sealed: Answer, Failed, NotRun, Unknown.
type Outcome interface{ outcome() }

// Answer says that the job ran and its whole answer exists.
type Answer struct {
	// Length is the number of bytes of the whole answer.
	Length int64
	// Checksum is the xxhash64 of the whole answer.
	Checksum uint64
	// Parts lists where the answer is, in the order of the bytes. It is empty
	// when Body holds the whole answer.
	Parts []Part
	// Body holds the answer when it is at most MaxInlineBytes long.
	Body []byte
}

// MaxInlineBytes is the longest answer that an end record in the log carries.
const MaxInlineBytes = 64 << 10

// Part is one task's piece of an answer, kept by the agent that ran it.
type Part struct {
	VM       string
	Attempt  string
	Rank     int
	Length   int64
	Checksum uint64
}

// Failed says that the job ran and ended with its own error, or was stopped
// after it had started.
type Failed struct {
	// Reason is the job's own error or says who stopped it.
	Reason string
	// Cancelled says that the caller cancelled the job after it had started.
	Cancelled bool
}

// NotRun says that no part of the job was started and none ever will be.
type NotRun struct {
	// Rule names the rule that refused; `celerypoint explain` describes it.
	Rule string
	// Reason gives the values behind the refusal.
	Reason string
}

// Unknown says that the job may or may not have run.
type Unknown struct {
	// Reason says which answer was lost.
	Reason string
}

func (Answer) outcome()  {}
func (Failed) outcome()  {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// Kind is the name of an outcome in wire formats and on screens.
type Kind string

// The kinds, one for each outcome.
const (
	KindAnswer  Kind = "answer"
	KindFailed  Kind = "failed"
	KindNotRun  Kind = "notRun"
	KindUnknown Kind = "unknown"
)

// KindOf names the outcome. It is empty for nil, which means not ended.
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
