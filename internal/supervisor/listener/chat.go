package listener

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// defaultMaxTokens applies to requests without max_tokens, unless the
// configured limit is lower.
const defaultMaxTokens = 64

// maxPrefixBytes is the maximum length of the prompt prefix whose hash is used
// to find endpoints that may have it cached.
const maxPrefixBytes = 512

// message is one turn of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of POST /v1/chat/completions and /v1/completions.
type chatRequest struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Prompt   string    `json:"prompt"`
	// MaxTokens is nil if the request has no max_tokens.
	MaxTokens *int `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Received are the tokens that the caller has of a broken stream; the
	// answer continues after them.
	Received []string `json:"received"`
	// SystemFingerprint is the one that was sent with the received tokens.
	SystemFingerprint systemFingerprint `json:"system_fingerprint"`
}

// chat answers POST /v1/chat/completions.
func (l *Listener) chat(w http.ResponseWriter, r request) error {
	return l.generate(w, r, chatFormat, chatPrompt)
}

// completion answers POST /v1/completions.
func (l *Listener) completion(w http.ResponseWriter, r request) error {
	return l.generate(w, r, completionFormat, func(req chatRequest) string { return req.Prompt })
}

// chatPrompt joins the messages into one prompt, which is empty if no message
// has any text.
func chatPrompt(req chatRequest) string {
	var b strings.Builder
	hasContent := false
	for _, m := range req.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
		hasContent = hasContent || strings.TrimSpace(m.Content) != ""
	}
	if !hasContent {
		return ""
	}
	return b.String()
}

// generate runs a request to a model and sends the answer as a stream or in one
// response.
func (l *Listener) generate(w http.ResponseWriter, r request, format answerFormat, prompt func(chatRequest) string) error {
	data, held, err := l.readBody(w, r)
	defer held.Release()
	if err != nil {
		return err
	}
	req, err := l.decodeChat(w, r, data, held)
	if err != nil {
		return err
	}
	chat, err := l.newChat(r, req, prompt(req))
	if err != nil {
		return err
	}
	if chat.Key, err = idempotencyKey(r, data); err != nil {
		return err
	}
	ctx, cancel, err := l.withTimeout(r)
	if err != nil {
		return err
	}
	defer cancel()
	release, err := l.cfg.Gate.Acquire()
	defer release()
	if err != nil {
		return l.cfg.RefuseChat(ctx, chat, l.withOtherNodes(r, err))
	}
	reply := newReply(w, chat, format)
	if req.Stream {
		return l.respondStreaming(ctx, r, reply, chat)
	}
	return l.respondBuffered(ctx, reply, chat)
}

// withTimeout limits the request's time to the configured limit, or to the
// X-Timeout-Seconds header if that is shorter, and to the expiry of the gate.
func (l *Listener) withTimeout(r request) (context.Context, context.CancelFunc, error) {
	limit := l.cfg.Limits.Request.Duration
	if text := r.Header.Get(headerTimeoutSeconds); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if (err != nil && !math.IsInf(seconds, 1)) || !(seconds > 0) {
			return nil, nil, refuser.New(refuser.BadRequest, "%s must be a number greater than 0", headerTimeoutSeconds)
		}
		seconds = min(seconds, limit.Seconds())
		limit = time.Duration(seconds * float64(time.Second))
	}
	open, release := l.cfg.Gate.Context(r.Context())
	ctx, cancel := context.WithTimeout(open, limit)
	return ctx, func() {
		cancel()
		release()
	}, nil
}

// newChat validates a request against its organisation's template and the
// limits.
func (l *Listener) newChat(r request, req chatRequest, prompt string) (dispatcher.Chat, error) {
	model, ok := r.org.Model(req.Model)
	if !ok {
		return dispatcher.Chat{}, refuser.New(refuser.NoSuchModel, "the organisation has no model %q", req.Model)
	}
	if strings.TrimSpace(prompt) == "" {
		return dispatcher.Chat{}, refuser.New(refuser.BadRequest, "the prompt is empty")
	}
	tokens := min(defaultMaxTokens, l.cfg.Limits.Tokens)
	if req.MaxTokens != nil {
		tokens = *req.MaxTokens
	}
	if tokens < 1 || tokens > l.cfg.Limits.Tokens {
		return dispatcher.Chat{}, refuser.New(refuser.BadRequest, "max_tokens must be from 1 to %d", l.cfg.Limits.Tokens)
	}
	if len(req.Received) >= tokens {
		return dispatcher.Chat{}, refuser.New(refuser.BadRequest, "received already holds the whole answer")
	}
	if len(req.Received) > 0 {
		var err error
		if model, err = resumedModel(model, req.SystemFingerprint); err != nil {
			return dispatcher.Chat{}, err
		}
	}
	return dispatcher.Chat{
		Request:      r.id,
		Organisation: r.org,
		Route: planner.Request{
			Model:        model.Name,
			Version:      model.Version,
			Adapter:      model.Adapter,
			Organisation: r.org.Template.Name,
			Prefix:       xxhash.Sum64String(prompt[:min(len(prompt), maxPrefixBytes)]),
			Centre:       l.cfg.Centre,
			Tokens:       tokens - len(req.Received),
		},
		Prompt: prompt,
		Tokens: tokens,
		Resume: req.Received,
	}, nil
}

// respondBuffered runs a request and sends the complete answer in one response.
func (l *Listener) respondBuffered(ctx context.Context, reply *reply, chat dispatcher.Chat) error {
	tokens := append([]string(nil), chat.Resume...)
	err := l.cfg.Chat(ctx, chat, func(_ int, token string) error {
		tokens = append(tokens, token)
		return nil
	})
	if err != nil {
		return asExpired(ctx, chat.Organisation.Template.ChatNonIdempotent, asAnswerOutdated(chat, err))
	}
	l.cfg.Counters.Requests.Add("whole", 1)
	return reply.sendAnswer(tokens)
}

// respondStreaming runs a request and sends each token as it is generated. An
// error after the first event is sent as an error event.
func (l *Listener) respondStreaming(ctx context.Context, r request, reply *reply, chat dispatcher.Chat) error {
	err := l.cfg.Chat(ctx, chat, reply.sendToken)
	if err == nil {
		err = reply.err
	}
	if err == nil {
		l.cfg.Counters.Requests.Add("streamed", 1)
		return reply.sendEnd()
	}
	err = asExpired(ctx, chat.Organisation.Template.ChatNonIdempotent, asAnswerOutdated(chat, err))
	if !reply.started {
		return err
	}
	refusal := l.includeOtherNodes(r.org, asRefusal(err))
	l.recordRefusal(r.Request, refusal)
	reply.sendError(refusal)
	return nil
}

// withOtherNodes turns err into a refusal with the addresses of nodes that the
// caller may use instead.
func (l *Listener) withOtherNodes(r request, err error) refuser.Refusal {
	return asRefusal(err).WithAddresses(l.cfg.Addresses(r.org.Template.Name))
}

// setWriteDeadline limits the time that the caller may take to read the
// response.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeJSON sends v as the whole response.
func writeJSON(w http.ResponseWriter, v any) error {
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
	return nil
}
