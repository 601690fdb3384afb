package entryd

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
)

// answerChunk bounds one read of an answer, so that a large answer does not
// hold up other messages of its connection.
const answerChunk = 256 << 10

// partTries bounds the tries to read one part of an answer.
const partTries = 3

// collect reads every part of an answer and checks lengths and checksums. A
// short answer is kept in Body; of a long one only the checksum is kept.
func (d *Daemon) collect(ctx context.Context, a outcome.Answer) (outcome.Answer, error) {
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

// readPart reads one task's answer whole, or fails.
func (d *Daemon) readPart(ctx context.Context, p outcome.Part) ([]byte, error) {
	var err error
	for range partTries {
		var data []byte
		if data, err = d.readPartOnce(ctx, p); err == nil {
			return data, nil
		}
		d.pause(retryDelay)
	}
	return nil, err
}

func (d *Daemon) readPartOnce(ctx context.Context, p outcome.Part) ([]byte, error) {
	data := make([]byte, 0, p.Length)
	for int64(len(data)) < p.Length {
		conn := d.agentOf(p.VM)
		if conn == nil {
			return nil, fmt.Errorf("answer of rank %d: no connection to VM %s", p.Rank, p.VM)
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		params := wire.AnswerParams{Attempt: p.Attempt, Rank: p.Rank, Offset: len(data), Max: answerChunk}
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
			return nil, fmt.Errorf("answer of rank %d on VM %s: found %d bytes at offset %d of %d", p.Rank, p.VM, len(chunk), len(data), p.Length)
		}
		data = append(data, chunk...)
	}
	if sum := xxhash.Sum64(data); sum != p.Checksum {
		return nil, fmt.Errorf("answer of rank %d on VM %s: checksum %016x, want %016x", p.Rank, p.VM, sum, p.Checksum)
	}
	return data, nil
}
