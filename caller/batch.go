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

// pieceBytes bounds one write of a streamed body. nbhttp v1.6.8 reuses a
// buffer that it has freed when a chunk and what is buffered before it reach
// 64 KiB, so each piece stays below and is flushed before the next.
const pieceBytes = 32 << 10

// maxBatch bounds the requests of one batch.
const maxBatch = 1024

// batch takes one request a line and sends one answer a line, in the order in
// which the jobs end. Every line of the request gets exactly one line.
func (h *Handler) batch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		fail(w, http.StatusBadRequest, fmt.Errorf("body: found a cut body (%v), allowed: whole lines", err))
		return
	}
	var lines [][]byte
	for line := range bytes.Lines(body) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 || len(lines) > maxBatch {
		fail(w, http.StatusBadRequest, fmt.Errorf("body: found %d requests, allowed: 1 to %d", len(lines), maxBatch))
		return
	}
	// The channel holds every answer, so no worker waits for a slow reader.
	answers := make(chan wire.JobView, len(lines))
	for i, line := range lines {
		j, requestID, err := jobFrom(line)
		if err != nil {
			v := refused(j.Org, ruleInvalidRequest, fmt.Sprintf("line %d: %v", i+1, err))
			answers <- answerLine(v, requestID)
			continue
		}
		if err := h.pool.Submit(func() { answers <- answerLine(h.runBatched(r.Context(), j), requestID) }); err != nil {
			answers <- answerLine(refused(j.Org, ruleQueueFull, err.Error()), requestID)
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

// runBatched runs one job of a batch to its end, or for maxWait.
func (h *Handler) runBatched(ctx context.Context, j job.Job) job.View {
	if h.leaving() {
		return refused(j.Org, ruleEntryLeaving, "the entry takes no new jobs")
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
		// A body that cannot be read now can be read by the job's ID later,
		// so the outcome stays an answer without an inline body.
		body, read, err := h.service.Answer(ctx, v.ID)
		if err != nil {
			return v
		}
		a.Body, a.Length, a.Checksum = body, read.Length, read.Checksum
	}
	if checkWhole(a.Body, a) != nil {
		a.Body = nil
	}
	v.Outcome = a
	return v
}

func answerLine(v job.View, requestID string) wire.JobView {
	wv := codec.EncodeJobView(v)
	wv.RequestID = requestID
	return wv
}

// writeLine sends one whole line; it reports whether the connection lives.
func writeLine(w http.ResponseWriter, v wire.JobView) bool {
	line, err := json.Marshal(v)
	if err != nil {
		return false
	}
	for line = append(line, '\n'); len(line) > 0; {
		n := min(len(line), pieceBytes)
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
