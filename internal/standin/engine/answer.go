package engine

import (
	"encoding/binary"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pollenlug/pollenlug/pkg/backend"
)

// Bounds of the natural length of a response, in tokens: from 64 to 64<<6 - 1.
const (
	minResponseTokens     = 64
	responseLengthClasses = 6
)

// bytesPerToken is the number of bytes of a word that count as one token: a word of n bytes counts as
// n/bytesPerToken tokens, at least 1.
const bytesPerToken = 4

const vocabularySize = 4096

// vocabulary has one word per token. Words start with a space and need no escaping in JSON.
var vocabulary = func() []string {
	const consonants, vowels = "bdfghklmnprstvwz", "aeio"
	words := make([]string, vocabularySize)
	for i := range words {
		words[i] = string([]byte{' ', consonants[i&15], vowels[i>>4&3], consonants[i>>6&15], vowels[i>>10&3]})
	}
	return words
}()

// response determines all tokens of one generated response.
type response struct {
	digest uint64
	length uint32
	finish string
}

func responseFor(req *backend.GenerateRequest) response {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], req.Seed)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(req.Model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(req.Adapter)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(req.Prompt)
	res := response{digest: d.Sum64(), finish: "stop"}
	r := mix(res.digest)
	low := uint32(minResponseTokens) << (r % responseLengthClasses)
	res.length = low + uint32(r>>32)%low
	if req.MaxTokens > 0 && req.MaxTokens < res.length {
		res.length, res.finish = req.MaxTokens, "length"
	}
	return res
}

func (res response) token(i uint32) string {
	return vocabulary[mix(res.digest+uint64(i)+1)%vocabularySize]
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ExpectedResponse returns all tokens and the finish reason with which every engine responds to req. Only Model,
// Adapter, Prompt, Seed and MaxTokens matter. MaxTokens 0 means no limit below the natural length.
func ExpectedResponse(req backend.GenerateRequest) (tokens []string, finishReason string) {
	res := responseFor(&req)
	tokens = make([]string, res.length)
	for i := range tokens {
		tokens[i] = res.token(uint32(i))
	}
	return tokens, res.finish
}

// CountTokens returns the number of tokens of a text. A word of n bytes counts as n/4 tokens, at least 1.
func CountTokens(text string) int {
	total := 0
	countWords(text, func(_, tokens int) { total += tokens })
	return total
}

// countWords calls visit with the start and the token count of each word.
func countWords(text string, visit func(start, tokens int)) {
	start := -1
	for i := 0; i <= len(text); i++ {
		if i < len(text) && !isSpace(text[i]) {
			if start < 0 {
				start = i
			}
			continue
		}
		if start >= 0 {
			visit(start, max(1, (i-start)/bytesPerToken))
			start = -1
		}
	}
}

func isSpace(b byte) bool {
	return b < utf8.RuneSelf && strings.IndexByte(" \t\n\r\v\f", b) >= 0
}

// blockTokens returns the hashes of the complete prefix blocks of a prompt, the token count of each block and that
// of the whole prompt. The tokens of a word are spread over its bytes, so that a long word fills several blocks.
func blockTokens(model, adapter, prompt string) (hashes []uint64, tokens []int, total int) {
	hashes = backend.PrefixBlocks(nil, model, adapter, prompt)
	tokens = make([]int, len(hashes))
	countWords(prompt, func(start, n int) {
		total += n
		for i := range n {
			if b := (start + i*bytesPerToken) / backend.PrefixBlockBytes; b < len(tokens) {
				tokens[b]++
			}
		}
	})
	return hashes, tokens, total
}
