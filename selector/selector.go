// Package selector parses label selectors and matches them against labels. A
// selector is a comma-separated list of terms that must all hold:
// key=value, key!=value, key (present), !key (absent), key in (a|b). A term
// key!=value also holds if the label is absent. The package owns no state and
// takes no lock.
package selector

import (
	"fmt"
	"slices"
	"strings"
)

// Operator is the kind of test that a term makes on a label.
type Operator string

// The operators of a term.
const (
	OperatorEqual    Operator = "="
	OperatorNotEqual Operator = "!="
	OperatorPresent  Operator = "present"
	OperatorAbsent   Operator = "absent"
	OperatorIn       Operator = "in"
)

// Term is one test on one label.
type Term struct {
	// Key is never empty.
	Key      string
	Operator Operator
	// Values has one value for OperatorEqual and OperatorNotEqual, at least
	// one for OperatorIn, and none for the others.
	Values []string
}

// Selector is a list of terms that must all hold. The empty selector matches
// everything.
type Selector struct{ Terms []Term }

// Parse parses a selector. An error names the invalid term and the allowed forms.
func Parse(text string) (Selector, error) {
	var s Selector
	if strings.TrimSpace(text) == "" {
		return s, nil
	}
	for _, part := range strings.Split(text, ",") {
		t, err := parseTerm(strings.TrimSpace(part))
		if err != nil {
			return Selector{}, err
		}
		s.Terms = append(s.Terms, t)
	}
	return s, nil
}

func parseTerm(text string) (Term, error) {
	var t Term
	if key, list, ok := strings.Cut(text, " in "); ok {
		list = strings.TrimSpace(list)
		if !strings.HasPrefix(list, "(") || !strings.HasSuffix(list, ")") {
			return Term{}, termError(text)
		}
		t = Term{Key: strings.TrimSpace(key), Operator: OperatorIn, Values: strings.Split(list[1:len(list)-1], "|")}
	} else if key, value, ok := strings.Cut(text, "!="); ok {
		t = Term{Key: strings.TrimSpace(key), Operator: OperatorNotEqual, Values: []string{strings.TrimSpace(value)}}
	} else if key, value, ok := strings.Cut(text, "="); ok {
		t = Term{Key: strings.TrimSpace(key), Operator: OperatorEqual, Values: []string{strings.TrimSpace(value)}}
	} else if key, ok := strings.CutPrefix(text, "!"); ok {
		t = Term{Key: strings.TrimSpace(key), Operator: OperatorAbsent}
	} else {
		t = Term{Key: text, Operator: OperatorPresent}
	}
	if t.Key == "" || strings.ContainsAny(t.Key, " !=()|") {
		return Term{}, termError(text)
	}
	for i, v := range t.Values {
		t.Values[i] = strings.TrimSpace(v)
		if t.Values[i] == "" || strings.ContainsAny(t.Values[i], " !=()|") {
			return Term{}, termError(text)
		}
	}
	return t, nil
}

func termError(text string) error {
	return fmt.Errorf("selector: found the term %q, allowed: key=value, key!=value, key, !key, key in (a|b)", text)
}

// Matches reports whether every term holds for the labels.
func (s Selector) Matches(labels map[string]string) bool {
	for _, t := range s.Terms {
		if !t.matches(labels) {
			return false
		}
	}
	return true
}

func (t Term) matches(labels map[string]string) bool {
	value, present := labels[t.Key]
	switch t.Operator {
	case OperatorEqual:
		return present && value == t.Values[0]
	case OperatorNotEqual:
		return !present || value != t.Values[0]
	case OperatorPresent:
		return present
	case OperatorAbsent:
		return !present
	case OperatorIn:
		return present && slices.Contains(t.Values, value)
	default:
		return false
	}
}
