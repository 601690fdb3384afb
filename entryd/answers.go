package entryd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
)

// maxAnswerChunk is the maximum number of bytes in one read of an answer, so that
// a large answer does not delay other messages on its connection.
const maxAnswerChunk = 256 << 10

// maxPartReads is the maximum number of failed tries to read one part of an answer.
const maxPartReads = 3

// fetchAnswer reads every part of an answer from the agents, and checks lengths
// and checksums. It returns the answer with the checksum of the whole. An answer
// of at most outcome.MaxInlineBytes is returned in Body. A longer one stays on
// the VMs and keeps its Parts.
func (d *Daemon) fetchAnswer(ctx context.Context, a outcome.Answer) (outcome.Answer, error) {
	digest := xxhash.New()
	var body []byte
	for _, p := range a.Parts {
		data, err := d.readPart(ctx, p)
		if err != nil {
			return outcome.Answer{}, err
		}
		_, _ = digest.Write(data)
		if a.Length <= outcome.MaxInlineBytes {
			body = append(body, data...)
		}
	}
	a.Checksum = digest.Sum64()
	if a.Length <= outcome.MaxInlineBytes {
		a.Body, a.Parts = body, nil
	}
	return a, nil
}

// readPart reads the whole answer of one task. It fails after maxPartReads failed tries. A
// try without a reply is not one of them until the VM would count as lost.
func (d *Daemon) readPart(ctx context.Context, p outcome.Part) ([]byte, error) {
	silentUntil := time.Now().Add(d.cfg.VMLostTimeout)
	for failed := 0; ; {
		data, err := d.readPartOnce(ctx, p)
		if err == nil {
			return data, nil
		}
		if !isSilence(err) || time.Now().After(silentUntil) {
			failed++
		}
		if failed == maxPartReads || ctx.Err() != nil || d.ctx.Err() != nil {
			return nil, err
		}
		d.sleep(retryDelay)
	}
}

// errNotConnected means that there is no connection to the agent of a VM.
var errNotConnected = errors.New("no connection")

// isSilence reports whether a call to an agent failed without a reply.
func isSilence(err error) bool {
	return errors.Is(err, errNotConnected) || errors.Is(err, rpc.ErrClosed) || errors.Is(err, rpc.ErrTimeout) || errors.Is(err, context.DeadlineExceeded)
}

// readPartOnce reads the whole answer of one task, and checks its length and
// checksum.
func (d *Daemon) readPartOnce(ctx context.Context, p outcome.Part) ([]byte, error) {
	data := make([]byte, 0, p.Length)
	for int64(len(data)) < p.Length {
		conn := d.agentConn(p.VM)
		if conn == nil {
			return nil, fmt.Errorf("answer of rank %d on VM %s: %w", p.Rank, p.VM, errNotConnected)
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		params := wire.AnswerParams{Attempt: p.Attempt, Rank: p.Rank, Offset: len(data), Max: maxAnswerChunk}
		r, err := agent.Client{Conn: conn}.Answer(callCtx, params)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("answer of rank %d on VM %s: %w", p.Rank, p.VM, err)
		}
		chunk, err := wire.Bytes("data", r.Data)
		if err != nil {
			return nil, fmt.Errorf("answer of rank %d on VM %s: %w", p.Rank, p.VM, err)
		}
		if len(chunk) == 0 || int64(len(data)+len(chunk)) > p.Length {
			return nil, fmt.Errorf("answer of rank %d on VM %s: got a chunk of %d bytes at offset %d, the answer has %d bytes", p.Rank, p.VM, len(chunk), len(data), p.Length)
		}
		data = append(data, chunk...)
	}
	if sum := xxhash.Sum64(data); sum != p.Checksum {
		return nil, fmt.Errorf("answer of rank %d on VM %s: checksum is %016x, want %016x", p.Rank, p.VM, sum, p.Checksum)
	}
	return data, nil
}
