package standinruntime

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"celerypoint.example/celerypoint/wire"
)

// maxAnswerBytes bounds the answer that a payload may ask for.
const maxAnswerBytes = 64 << 20

// Answer is the answer of the task of that rank: the echo text, or answerBytes
// bytes from a generator seeded with the seed and the rank. A payload that
// cannot be read has an empty answer.
func Answer(payload []byte, rank int) []byte {
	p, err := parse(payload)
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
	// ChaCha8 never fails to read.
	_, _ = rand.NewChaCha8(seed).Read(answer)
	return answer
}

// parse reads a payload; an empty one asks for nothing.
func parse(payload []byte) (wire.StandinPayload, error) {
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
