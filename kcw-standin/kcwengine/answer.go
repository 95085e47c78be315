package kcwengine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strconv"
)

const (
	bytesPerToken    = 4
	tokensPerMessage = 3
	// Without a length in the prompt, an answer has minAnswerTokens up to
	// minAnswerTokens+answerTokenRange-1 tokens.
	minAnswerTokens  = 8
	answerTokenRange = 56
)

// lengthPattern matches the text by which a prompt sets the length of its
// answer, as in "tokens=20".
var lengthPattern = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

var vocabulary = [...]string{
	"oak", "ash", "elm", "pew", "nave", "vault", "lime", "slate", "shellac", "varnish", "beeswax", "dowel",
	"tenon", "mortise", "lintel", "corbel", "transept", "organ", "parish", "sexton", "vestry", "survey",
	"finish", "joint", "grain", "putty", "primer", "gilding", "hinge", "latch", "panel", "rail",
}

// plan determines the answer to one prompt. It is a pure function of the model
// and the messages, so the same request always gets the same bytes.
type plan struct {
	seed         [sha256.Size]byte
	promptTokens int64
	// naturalTokens is the length of the answer without a token limit.
	naturalTokens int64
}

func planFor(chat *chatRequest) plan {
	hash := sha256.New()
	hash.Write([]byte(chat.Model))
	p := plan{}
	length := int64(-1)
	for _, message := range chat.Messages {
		text := string(message.Content)
		hash.Write([]byte{0})
		hash.Write([]byte(message.Role))
		hash.Write([]byte{0})
		hash.Write([]byte(text))
		p.promptTokens += (int64(len(text))+bytesPerToken-1)/bytesPerToken + tokensPerMessage
		if match := lengthPattern.FindStringSubmatch(text); match != nil {
			// The pattern allows at most six digits, which always fit.
			length, _ = strconv.ParseInt(match[1], 10, 64)
		}
	}
	hash.Sum(p.seed[:0])
	p.naturalTokens = length
	if length < 0 {
		p.naturalTokens = minAnswerTokens + int64(binary.BigEndian.Uint16(p.seed[:])%answerTokenRange)
	}
	return p
}

// truncate applies the request's token limit, zero for none. It returns the
// number of tokens in the answer and its finish reason.
func (p plan) truncate(maxTokens int64) (tokens int64, reason string) {
	if maxTokens > 0 && p.naturalTokens > maxTokens {
		return maxTokens, "length"
	}
	return p.naturalTokens, "stop"
}

// token returns the text of the token at index. It contains the index and bytes
// of a hash of seed and index, so that a token that is missing, repeated or from
// another answer is detected.
func (p plan) token(index int64) string {
	var input [sha256.Size + 8]byte
	copy(input[:], p.seed[:])
	binary.BigEndian.PutUint64(input[sha256.Size:], uint64(index))
	sum := sha256.Sum256(input[:])
	word := vocabulary[int(sum[0])%len(vocabulary)]
	return word + strconv.FormatInt(index, 10) + hex.EncodeToString(sum[1:3]) + " "
}

func (p plan) text(tokens int64) []byte {
	var text []byte
	for i := range tokens {
		text = append(text, p.token(i)...)
	}
	return text
}

func (p plan) id() string { return "chatcmpl-" + hex.EncodeToString(p.seed[:12]) }
