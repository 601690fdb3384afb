package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
)

// maxWriteBytes bounds one write of a streamed body. nbhttp v1.6.8 uses a
// buffer after freeing it when a chunk and the data buffered before it reach 64
// KiB. Therefore each write is smaller than that and is flushed before the
// next.
const maxWriteBytes = 32 << 10

// maxBatchRequests bounds the number of requests in one batch.
const maxBatchRequests = 1024

// batch serves POST /v1/batch. The body has one request per line. The response
// has exactly one line for each of them, in the order in which the jobs end.
func (h *Handler) batch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		replyError(w, http.StatusBadRequest, fmt.Errorf("body: found a truncated body (%v), allowed: complete lines", err))
		return
	}
	var lines [][]byte
	for line := range bytes.Lines(body) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 || len(lines) > maxBatchRequests {
		replyError(w, http.StatusBadRequest, fmt.Errorf("body: found %d requests, allowed: 1 to %d", len(lines), maxBatchRequests))
		return
	}
	// The channel has room for every response line, so that no worker of the pool
	// waits for a client that reads slowly.
	answers := make(chan wire.JobView, len(lines))
	for i, line := range lines {
		j, requestID, err := decodeJob(line)
		if err != nil {
			v := refusedView(j.Org, ruleInvalidRequest, fmt.Sprintf("line %d: %v", i+1, err))
			answers <- responseLine(v, requestID)
			continue
		}
		if err := h.pool.Submit(func() { answers <- responseLine(h.runBatchJob(r.Context(), j), requestID) }); err != nil {
			answers <- responseLine(refusedView(j.Org, ruleQueueFull, err.Error()), requestID)
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	for range lines {
		if !writeLine(w, <-answers) {
			return
		}
	}
}

// runBatchJob submits one job of a batch and waits until it has ended, at most
// for maxWait. It returns the job's state with the answer inline if that is
// small enough.
func (h *Handler) runBatchJob(ctx context.Context, j job.Job) job.View {
	if h.stopping() {
		return refusedView(j.Org, ruleEntryLeaving, "the entry is stopping and accepts no new jobs")
	}
	v, err := h.submitAndWait(ctx, j, maxWait)
	if err != nil {
		v.Org, v.Phase = j.Org, job.PhaseEnded
		v.Outcome = outcome.Unknown{Reason: err.Error()}
		return v
	}
	a, ok := v.Outcome.(outcome.Answer)
	if !ok || a.Length > outcome.MaxInlineBytes {
		return v
	}
	if int64(len(a.Body)) != a.Length {
		// If the body cannot be read now, the caller can read it later by the
		// job's ID, so the outcome remains an answer, without an inline body.
		body, read, err := h.service.Answer(ctx, v.ID)
		if err != nil {
			return v
		}
		a.Body, a.Length, a.Checksum = body, read.Length, read.Checksum
	}
	if verifyAnswer(a.Body, a) != nil {
		a.Body = nil
	}
	v.Outcome = a
	return v
}

func responseLine(v job.View, requestID string) wire.JobView {
	wv := codec.EncodeJobView(v)
	wv.RequestID = requestID
	return wv
}

// writeLine writes v as one line of JSON. It reports whether that succeeded; a
// write fails when the connection has closed.
func writeLine(w http.ResponseWriter, v wire.JobView) bool {
	line, err := json.Marshal(v)
	if err != nil {
		return false
	}
	for line = append(line, '\n'); len(line) > 0; {
		n := min(len(line), maxWriteBytes)
		if _, err := w.Write(line[:n]); err != nil {
			return false
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		line = line[n:]
	}
	return true
}
