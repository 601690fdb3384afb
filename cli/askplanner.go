package cli

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"celerypoint.example/celerypoint/wire"
)

const (
	// plannerTimeout bounds the request to one entry.
	plannerTimeout = 3 * time.Second
	// maxPlannerAnswer bounds the answer of an entry.
	maxPlannerAnswer = 16 << 20
)

// errNotPlanner means that the entry does not plan.
var errNotPlanner = errors.New("the entry does not plan")

// plannerQuestion is a request at the address of an entry's metrics that only the planner
// answers. Other entries answer 409, with a view that names the planner.
type plannerQuestion struct {
	Method, Path string
	Query        url.Values
	Body         []byte
}

// askPlanner asks the entries in turn until one answers that plans. planner is the name of
// the planner in a view, empty if there is none.
func askPlanner[V any](ctx context.Context, entries []string, q plannerQuestion, planner func(V) string) (V, error) {
	var failures []error
	for _, entry := range entries {
		view, err := askEntry[V](ctx, entry, q)
		if err == nil {
			return view, nil
		}
		if errors.Is(err, errNotPlanner) {
			err = fmt.Errorf("%w; %s does", err, cmp.Or(planner(view), "none that it knows"))
		}
		failures = append(failures, fmt.Errorf("entry %s: %w", entry, err))
	}
	var none V
	return none, errors.Join(failures...)
}

func askEntry[V any](ctx context.Context, entry string, q plannerQuestion) (V, error) {
	var view V
	bounded, cancel := context.WithTimeout(ctx, plannerTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: entry, Path: q.Path, RawQuery: q.Query.Encode()}
	request, err := http.NewRequestWithContext(bounded, q.Method, target.String(), bytes.NewReader(q.Body))
	if err != nil {
		return view, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return view, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlannerAnswer))
	switch {
	case err != nil:
		return view, err
	case response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict:
		return view, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := wire.Decode(body, &view); err != nil {
		return view, err
	}
	if response.StatusCode == http.StatusConflict {
		return view, errNotPlanner
	}
	return view, nil
}
