package standinruntime

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"celerypoint.example/celerypoint/wire"
)

// maxAnswerBytes bounds answerBytes of a payload.
const maxAnswerBytes = 64 << 20

// Answer computes the answer of the task with the rank from the payload of its
// job. The answer is the text echo of the payload, if there is one, and otherwise
// answerBytes pseudo-random bytes that depend on the seed of the payload and on
// the rank. It is empty for an invalid payload.
func Answer(payload []byte, rank int) []byte {
	p, err := parsePayload(payload)
	if err != nil {
		return nil
	}
	if p.Echo != "" {
		return []byte(p.Echo)
	}
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(p.Seed))
	binary.LittleEndian.PutUint64(seed[8:], uint64(rank))
	answer := make([]byte, p.AnswerBytes)
	// Read of ChaCha8 never fails.
	_, _ = rand.NewChaCha8(seed).Read(answer)
	return answer
}

// parsePayload decodes and checks a payload. An empty payload is valid and gives
// the zero value.
func parsePayload(payload []byte) (wire.StandinPayload, error) {
	var p wire.StandinPayload
	if len(payload) == 0 {
		return p, nil
	}
	if err := wire.Decode(payload, &p); err != nil {
		return p, err
	}
	if p.AnswerBytes < 0 || p.AnswerBytes > maxAnswerBytes || p.RunMs < 0 {
		return p, fmt.Errorf("payload: found answerBytes=%d runMs=%d, allowed: answerBytes 0 to %d, runMs at least 0", p.AnswerBytes, p.RunMs, maxAnswerBytes)
	}
	return p, nil
}
