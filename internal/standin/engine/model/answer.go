package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/prefix"
)

// tokenLetters is how many letters a token's text has; a space follows them.
const tokenLetters = prefix.BytesPerToken - 1

// lettersInAlphabet is how many different letters an answer uses.
const lettersInAlphabet = 26

// Answer is the whole answer of a model to a prompt, of any length. It depends
// on nothing but model, weights version and prompt, so that a test can tell a
// whole answer from a wrong one to the byte.
type Answer struct{ seed uint64 }

// AnswerOf returns the answer of a model in a weights version to a prompt.
func AnswerOf(model identity.ModelName, version identity.WeightsVersion, prompt []byte) Answer {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(version))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(prompt)
	return Answer{seed: digest.Sum64()}
}

// Token returns the text of the token at an offset, prefix.BytesPerToken bytes.
func (a Answer) Token(offset int) string {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], a.seed)
	binary.LittleEndian.PutUint64(input[8:], uint64(offset))
	value := xxhash.Sum64(input[:])
	var text [prefix.BytesPerToken]byte
	for index := range tokenLetters {
		text[index] = 'a' + byte(value%lettersInAlphabet)
		value /= lettersInAlphabet
	}
	text[tokenLetters] = ' '
	return string(text[:])
}

// Text returns the text of the tokens from one offset up to another.
func (a Answer) Text(from, to int) string {
	text := make([]byte, 0, max(0, to-from)*prefix.BytesPerToken)
	for offset := from; offset < to; offset++ {
		text = append(text, a.Token(offset)...)
	}
	return string(text)
}

// Output returns the text of one token of the answer to a prompt.
func Output(model identity.ModelName, version identity.WeightsVersion, prompt []byte, offset int) string {
	return AnswerOf(model, version, prompt).Token(offset)
}
