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
	leastTokens      = 8
	spreadTokens     = 56
)

// lengthOrder lets a prompt set how long its answer would be.
var lengthOrder = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

var words = [...]string{
	"oak", "ash", "elm", "pew", "nave", "vault", "lime", "slate", "shellac", "varnish", "beeswax", "dowel",
	"tenon", "mortise", "lintel", "corbel", "transept", "organ", "parish", "sexton", "vestry", "survey",
	"finish", "joint", "grain", "putty", "primer", "gilding", "hinge", "latch", "panel", "rail",
}

// plan is the whole answer to one prompt, which follows from the prompt alone:
// two runs of the same prompt give the same bytes.
type plan struct {
	seed   [sha256.Size]byte
	prompt int64
	// natural is the number of tokens after which the model would stop.
	natural int64
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
		p.prompt += (int64(len(text))+bytesPerToken-1)/bytesPerToken + tokensPerMessage
		if match := lengthOrder.FindStringSubmatch(text); match != nil {
			// Six digits always fit.
			length, _ = strconv.ParseInt(match[1], 10, 64)
		}
	}
	hash.Sum(p.seed[:0])
	p.natural = length
	if length < 0 {
		p.natural = leastTokens + int64(binary.BigEndian.Uint16(p.seed[:])%spreadTokens)
	}
	return p
}

// limit returns how many tokens are made under the request's limit, zero for
// none, and why the answer ends.
func (p plan) limit(most int64) (tokens int64, reason string) {
	if most > 0 && p.natural > most {
		return most, "length"
	}
	return p.natural, "stop"
}

// token returns the text of the token of the index, with a number in it so
// that a missing, doubled or foreign token shows.
func (p plan) token(index int64) string {
	var input [sha256.Size + 8]byte
	copy(input[:], p.seed[:])
	binary.BigEndian.PutUint64(input[sha256.Size:], uint64(index))
	sum := sha256.Sum256(input[:])
	word := words[int(sum[0])%len(words)]
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
