package listener

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
)

// answerFormat is the JSON format of an answer.
type answerFormat struct {
	// object and chunkObject are the values of the object field in a whole
	// answer and in a chunk.
	object, chunkObject string
	// chat is set if the text is sent as a message.
	chat bool
}

var (
	chatFormat       = answerFormat{object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
	completionFormat = answerFormat{object: "text_completion", chunkObject: "text_completion"}
)

// finishReasonLength is the finish_reason of an answer that has all its tokens.
const finishReasonLength = "length"

// choice is the only choice of an answer.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage counts an answer's tokens.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completion is an answer or a chunk of one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	// SystemFingerprint identifies what generates the answer.
	SystemFingerprint systemFingerprint `json:"system_fingerprint"`
	// Sequence is the position of a chunk's token.
	Sequence *int   `json:"sequence,omitempty"`
	Usage    *usage `json:"usage,omitempty"`
}

// reply writes the response to one request.
type reply struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	id     string
	format answerFormat
	model  string
	// systemFingerprint is the same in every chunk.
	systemFingerprint systemFingerprint
	// created is in Unix seconds and the same in every chunk.
	created int64
	// next is the position of the next token.
	next int
	// started is set with the first event, which sends the response's header.
	started bool
	// err is the first failure; only an error event may follow it.
	err error
}

// newReply returns a reply that has not sent anything.
func newReply(w http.ResponseWriter, chat dispatcher.Chat, format answerFormat) *reply {
	return &reply{
		next:   len(chat.Resume),
		w:      w,
		rc:     http.NewResponseController(w),
		id:     chat.Request,
		format: format,
		model:  chat.Route.Model,
		systemFingerprint: fingerprintOf(describer.Model{
			Name: chat.Route.Model, Version: chat.Route.Version, Adapter: chat.Route.Adapter,
		}),
		created: time.Now().Unix(),
	}
}

// newCompletion returns a completion with one choice.
func (p *reply) newCompletion(object string, c choice) completion {
	return completion{ID: p.id, Object: object, Created: p.created, Model: p.model, SystemFingerprint: p.systemFingerprint, Choices: []choice{c}}
}

// sendAnswer sends the whole answer.
func (p *reply) sendAnswer(tokens []string) error {
	reason := finishReasonLength
	text := strings.Join(tokens, "")
	c := choice{FinishReason: &reason}
	if p.format.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	answer := p.newCompletion(p.format.object, c)
	answer.Usage = &usage{CompletionTokens: len(tokens)}
	return writeJSON(p.w, answer)
}

// sendToken sends one token of a stream. After a gap in the positions or a
// failed write it sends no more tokens.
func (p *reply) sendToken(position int, token string) error {
	if p.err == nil && position != p.next {
		p.err = refuser.New(refuser.StreamBroken, "received token %d instead of token %d", position, p.next).WithRan(refuser.Maybe)
	}
	if p.err != nil {
		return p.err
	}
	p.next++
	p.err = p.writeToken(position, token)
	return p.err
}

// writeToken writes the event of a token.
func (p *reply) writeToken(position int, token string) error {
	var c choice
	if p.format.chat {
		c.Delta = &message{Role: "assistant", Content: token}
	} else {
		c.Text = token
	}
	answer := p.newCompletion(p.format.chunkObject, c)
	answer.Sequence = &position
	return p.writeCompletion(answer)
}

// sendEnd sends the events that mark the end of a complete stream.
func (p *reply) sendEnd() error {
	reason := finishReasonLength
	c := choice{FinishReason: &reason}
	if p.format.chat {
		c.Delta = &message{}
	}
	if err := p.writeCompletion(p.newCompletion(p.format.chunkObject, c)); err != nil {
		return nil
	}
	_ = p.writeEvent("data: [DONE]\n\n")
	return nil
}

// sendError sends an error event with the reason why the stream ends early.
func (p *reply) sendError(refusal refuser.Refusal) {
	data, err := json.Marshal(refusal.Problem())
	if err != nil {
		return
	}
	_ = p.writeEvent(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}

// writeCompletion writes a completion as one event of a stream.
func (p *reply) writeCompletion(answer completion) error {
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return p.writeEvent(fmt.Sprintf("data: %s\n\n", data))
}

// writeEvent writes and flushes one event within the write timeout.
func (p *reply) writeEvent(text string) error {
	if !p.started {
		p.started = true
		p.w.Header().Set("Content-Type", "text/event-stream")
		p.w.Header().Set("Cache-Control", "no-store")
	}
	_ = p.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprint(p.w, text); err != nil {
		return refuser.New(refuser.CallerLeft, "writing to the caller: %v", err).WithRan(refuser.Maybe)
	}
	if err := p.rc.Flush(); err != nil {
		return refuser.New(refuser.CallerLeft, "writing to the caller: %v", err).WithRan(refuser.Maybe)
	}
	return nil
}
