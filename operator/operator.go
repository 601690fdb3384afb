// Package operator serves the HTTP interface for operators: the configuration
// and its history, the status of the system, the timeline of events, and the
// draining of VMs. It translates between HTTP and Service. It owns no state and
// takes no lock.
package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/httpbody"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

// Service carries out the requests of operators.
type Service interface {
	// Config returns the configuration that this entry currently applies.
	Config(ctx context.Context) (configfold.State, error)
	// History returns the changes that were accepted or refused, beginning at the
	// given log offset.
	History(ctx context.Context, from int64) ([]wire.ConfigHistory, error)
	// Change appends a change to the log and returns its result. After an error it
	// is unknown whether the change will be accepted. The same record with the
	// same ID can then be sent again.
	Change(ctx context.Context, r configfold.Record) (configfold.Result, error)
	Status(ctx context.Context) (wire.StatusView, error)
	// Drain sets whether a VM is draining, which means that it gets no new tasks.
	Drain(ctx context.Context, vmID string, draining bool) error
	// Events returns the newest events of this entry and of the processes that
	// answer in time, in no particular order.
	Events(ctx context.Context) ([]timeline.Event, error)
}

// ErrStopping means that the entry is stopping and did not append the change.
var ErrStopping = errors.New("the entry is stopping and accepts no changes")

// Handler serves /v1/config, /v1/status, /v1/timeline and /v1/drain.
type Handler struct {
	service Service
	mux     *http.ServeMux
}

// New returns a handler for the service.
func New(s Service) *Handler {
	h := &Handler{service: s, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/config", h.config)
	h.mux.HandleFunc("POST /v1/config", h.change)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.HandleFunc("GET /v1/timeline", h.timeline)
	h.mux.HandleFunc("POST /v1/drain/{vm}", h.drain)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) config(w http.ResponseWriter, r *http.Request) {
	state, err := h.service.Config(r.Context())
	if err != nil {
		replyError(w, http.StatusServiceUnavailable, err)
		return
	}
	v := encodeView(state)
	if text := r.URL.Query().Get("from"); text != "" {
		from, err := strconv.ParseInt(text, 10, 64)
		if err != nil || from < 0 {
			replyError(w, http.StatusBadRequest, fmt.Errorf("from: found %q, allowed: an offset of at least 0", text))
			return
		}
		if v.History, err = h.service.History(r.Context(), from); err != nil {
			replyError(w, http.StatusServiceUnavailable, err)
			return
		}
	}
	httpserver.JSON(w, http.StatusOK, v)
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		replyError(w, http.StatusBadRequest, fmt.Errorf("body: found a truncated body (%v), allowed: a complete JSON object", err))
		return
	}
	var c wire.ConfigChange
	if err := httpbody.Decode(body, &c); err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	record, err := decodeChange(c)
	if err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	result, err := h.service.Change(r.Context(), record)
	if errors.Is(err, ErrStopping) {
		w.Header().Set("Retry-After", "1")
		httpserver.JSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not changed: " + err.Error(), Rule: "entryLeaving"})
		return
	}
	if err != nil {
		replyError(w, http.StatusServiceUnavailable, fmt.Errorf("%s: unknown whether the change is accepted: %w", c.Object, err))
		return
	}
	replyResult(w, c.Object, result)
}

func replyResult(w http.ResponseWriter, object string, result configfold.Result) {
	switch result := result.(type) {
	case configfold.Accepted:
		httpserver.JSON(w, http.StatusOK, wire.ConfigAccepted{Version: int(result.Version), Offset: int(result.Version)})
	case configfold.Conflict:
		httpserver.JSON(w, http.StatusConflict, wire.ErrorResponse{
			Error:   fmt.Sprintf("%s: another change was accepted first, its version is %d; read the object and change it again", object, result.Version),
			Version: int(result.Version),
		})
	case configfold.Duplicate:
		replyResult(w, object, result.First)
	default:
		replyError(w, http.StatusServiceUnavailable, fmt.Errorf("%s: the result of the change is no longer retained; read the object", object))
	}
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	s, err := h.service.Status(r.Context())
	if err != nil {
		replyError(w, http.StatusServiceUnavailable, err)
		return
	}
	httpserver.JSON(w, http.StatusOK, s)
}

func (h *Handler) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	for key := range q {
		if key != "job" && key != "org" && key != "vm" {
			replyError(w, http.StatusBadRequest, fmt.Errorf("query: found %q, allowed: job, org, vm", key))
			return
		}
	}
	events, err := h.service.Events(r.Context())
	if err != nil {
		replyError(w, http.StatusServiceUnavailable, err)
		return
	}
	events = timeline.Merge([][]timeline.Event{events}, timeline.Filter{Job: q.Get("job"), Org: q.Get("org"), VM: q.Get("vm")})
	result := wire.EventsResult{Events: make([]wire.Event, 0, len(events))}
	for _, e := range events {
		result.Events = append(result.Events, wire.Event{
			AtUnixUs: int(e.At.UnixMicro()), Process: e.Process, Kind: e.Kind, Job: e.Job, Org: e.Org, VM: e.VM,
			Offset: int(e.Offset), Detail: e.Detail, Sequence: int(e.Sequence),
		})
	}
	httpserver.JSON(w, http.StatusOK, result)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("draining")
	if text != "true" && text != "false" {
		replyError(w, http.StatusBadRequest, fmt.Errorf("draining: found %q, allowed: true, false", text))
		return
	}
	id := r.PathValue("vm")
	if err := h.service.Drain(r.Context(), id, text == "true"); err != nil {
		replyError(w, http.StatusServiceUnavailable, err)
		return
	}
	httpserver.JSON(w, http.StatusOK, wire.DrainParams{Draining: text == "true"})
}

// decodeChange checks a change and converts it to a configuration record.
// Operators can change organisations, the labels of VMs and the draining of
// VMs. Assignments and snapshots are written by the system only.
func decodeChange(c wire.ConfigChange) (configfold.Record, error) {
	r := configfold.Record{ID: c.ID, BasedOn: int64(c.BasedOn)}
	if c.BasedOn < 0 {
		return r, fmt.Errorf("basedOn: found %d, allowed: the version of the object, 0 for none", c.BasedOn)
	}
	objectName := func(prefix string) (string, error) {
		n, ok := strings.CutPrefix(c.Object, prefix)
		if !ok || n == "" {
			return "", fmt.Errorf("object: found %q, allowed for %s: %sNAME", c.Object, c.Kind, prefix)
		}
		return n, nil
	}
	var id string
	var err error
	switch c.Kind {
	case wire.ConfigKindPutOrg:
		if id, err = objectName("org/"); err != nil {
			return r, err
		}
		if c.Org == nil {
			return r, errors.New("org: found none, allowed: an organisation, required for putOrg")
		}
		o, err := codec.DecodeOrg(*c.Org)
		if err != nil {
			return r, err
		}
		if o.Name != id {
			return r, fmt.Errorf("org.name: found %q, allowed: %q, the name in object", o.Name, id)
		}
		r.Change = configfold.PutOrg{Org: o}
	case wire.ConfigKindDeleteOrg:
		if id, err = objectName("org/"); err != nil {
			return r, err
		}
		r.Change = configfold.DeleteOrg{Name: id}
	case wire.ConfigKindPutLabels:
		if id, err = objectName("vm/"); err != nil {
			return r, err
		}
		r.Change = configfold.PutLabels{VM: id, Labels: c.Labels}
	case wire.ConfigKindSetDrain:
		if id, err = objectName("drain/"); err != nil {
			return r, err
		}
		r.Change = configfold.SetDrain{VM: id, Draining: c.Draining}
	default:
		return r, fmt.Errorf("kind: found %q, allowed: putOrg, deleteOrg, putLabels, setDrain", c.Kind)
	}
	return r, checkUnusedFields(c)
}

// checkUnusedFields rejects fields that do not apply to the kind of change, so
// that nothing that the operator wrote is silently ignored.
func checkUnusedFields(c wire.ConfigChange) error {
	switch {
	case c.Org != nil && c.Kind != wire.ConfigKindPutOrg:
		return fmt.Errorf("org: found an organisation, allowed: none for %s", c.Kind)
	case c.Labels != nil && c.Kind != wire.ConfigKindPutLabels:
		return fmt.Errorf("labels: found %d labels, allowed: none for %s", len(c.Labels), c.Kind)
	case c.Draining && c.Kind != wire.ConfigKindSetDrain:
		return fmt.Errorf("draining: found true, allowed: none for %s", c.Kind)
	}
	return nil
}

// encodeView encodes the configuration as the list of its objects, sorted by
// name.
func encodeView(s configfold.State) wire.ConfigView {
	v := wire.ConfigView{Offset: int(s.LastApplied), Objects: []wire.ConfigObject{}}
	add := func(o wire.ConfigObject) {
		o.Version = int(s.Versions[o.Object])
		v.Objects = append(v.Objects, o)
	}
	for name, o := range s.Orgs {
		wo := codec.EncodeOrg(o)
		add(wire.ConfigObject{Object: "org/" + name, Org: &wo})
	}
	for id, labels := range s.VMLabels {
		add(wire.ConfigObject{Object: "vm/" + id, Labels: labels})
	}
	for object := range s.Versions {
		if id, ok := strings.CutPrefix(object, "drain/"); ok {
			add(wire.ConfigObject{Object: object, Draining: s.Draining[id]})
		}
	}
	if s.Versions["assignment"] != 0 {
		add(wire.ConfigObject{Object: "assignment", Assignment: &wire.Assignment{Shares: s.Assignment.Shares, Unmet: s.Assignment.Unmet}})
	}
	slices.SortFunc(v.Objects, func(a, b wire.ConfigObject) int { return cmp.Compare(a.Object, b.Object) })
	return v
}

func replyError(w http.ResponseWriter, status int, err error) {
	httpserver.JSON(w, status, wire.ErrorResponse{Error: err.Error()})
}
